"""Starts and stops that the leader sends to workers without waiting for their heartbeats."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.fleet.connections import ConnectionPool
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.http import NoAnswerError
from tealrill.settings import SettingsError
from tealrill.state.bindings import Binding
from tealrill.types import FencingToken, MachineId, monotonic_now, wall_now

log = logging.getLogger(__name__)

_DIRECT_TIMEOUT_S: Final = 2.0
_LATE_S: Final = 0.3
"""A timeout noticed later than this shows that this node was late itself."""


class DirectCommands:
    """Requests with commands to workers, one at a time for each machine."""

    def __init__(
        self,
        fleet: Fleet,
        connections: ConnectionPool,
        term: FencingToken,
        is_valid: Callable[[], bool],
        wake: Callable[[], None],
    ) -> None:
        """Send for the leader of `term` while `is_valid`; `wake` is called after each success."""
        self._fleet = fleet
        self._connections = connections
        self._term = term
        self._is_valid = is_valid
        self._wake = wake
        self._tasks: dict[MachineId, asyncio.Task[None]] = {}

    @property
    def in_flight(self) -> bool:
        """Whether commands to any machine are being sent."""
        return bool(self._tasks)

    def close(self) -> None:
        """Cancel what is being sent."""
        for task in self._tasks.values():
            task.cancel()

    def send(self, machine: Machine) -> None:
        """Sends starts and stops to the worker directly, without waiting for its heartbeat.

        Nothing is sent while commands to this machine are in flight: they take up what is new.
        """
        if machine.id in self._tasks or not machine.addr or machine.incarnation is None:
            return
        task = asyncio.create_task(self._send_in_turn(machine))
        self._tasks[machine.id] = task
        task.add_done_callback(lambda _: self._tasks.pop(machine.id, None))

    async def _send_in_turn(self, machine: Machine) -> None:
        """Waits for a connection, and then sends all that there is."""
        async with self._connections:
            await self._send_until_none(machine)

    async def _send_until_none(self, machine: Machine) -> None:
        """Sends stops once and starts until none is left.

        After a failure the responses to the machine's heartbeats carry the commands.
        """
        stops = self._fleet.commands.stops(machine, monotonic_now())
        while self._is_valid() and machine.incarnation is not None:
            starts = self._fleet.commands.direct_starts(machine)
            commands = stops + [wire.start(str(b.task), b.attempt) for b in starts]
            if not commands:
                return
            body = wire.encode(wire.direct_commands(self._term, machine.incarnation, commands))
            self._fleet.commands.direct_sent(starts)
            if not await self._request(machine, body, starts):
                return
            self._wake()
            stops = []

    async def _request(self, machine: Machine, body: bytes, starts: list[Binding]) -> bool:
        """Return whether the commands were executed.

        Without an answer it stays unknown whether the starts were.
        """
        began = monotonic_now()
        try:
            answer = await self._connections.request(
                machine.id, machine.addr, wire.COMMANDS_PATH, body, _DIRECT_TIMEOUT_S
            )
            report = (
                wire.decode(answer.body, wire.Heartbeat) if answer.status in (200, 409) else None
            )
        except (NoAnswerError, SettingsError, wire.MalformedMessageError) as error:
            log.info("commands for %s: %s", machine.id, error)
            late = monotonic_now() - began > _DIRECT_TIMEOUT_S + _LATE_S
            if isinstance(error, NoAnswerError) and error.silent and not late:
                # Two heartbeats in a row show that it is up. Where this node itself was late the
                # answer may be waiting unread.
                machine.mark_inbound_partitioned(True)
            if isinstance(error, SettingsError) or (
                isinstance(error, NoAnswerError) and not error.sent
            ):
                self._fleet.commands.direct_refused(starts)
            return False
        if answer.status in (400, 409):
            log.info("commands for %s refused: status %d", machine.id, answer.status)
            self._fleet.commands.direct_refused(starts)
        if report is None:
            return False
        # The heartbeat goes first: with its sequence number known, an older one that does not
        # list the task yet can't be taken for proof that it is gone.
        self._fleet.heartbeats.handle_direct_reply(report, machine.id, monotonic_now(), wall_now())
        if answer.status == 200:
            self._fleet.commands.direct_executed(starts)
        return answer.status == 200
