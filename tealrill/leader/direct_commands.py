"""Sends starts and stops to workers directly, without waiting for their heartbeats."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.fleet.commands import Commands
from tealrill.fleet.connections import ConnectionPool
from tealrill.fleet.fencing_log import FencingLog
from tealrill.fleet.heartbeats import HeartbeatProcessor
from tealrill.fleet.machine import Machine
from tealrill.fleet.machine_tokens import MachineTokens
from tealrill.http import NoAnswerError
from tealrill.settings import SettingsError
from tealrill.state.bindings import Binding
from tealrill.types import FencingToken, MachineId, monotonic_now, wall_now

log = logging.getLogger(__name__)

_DIRECT_TIMEOUT_S: Final = 2.0
_MAX_TIMEOUT_DELAY_S: Final = 0.3
"""A timeout that fires later than this shows that this node itself was delayed."""


class DirectCommands:
    """Sends requests with commands to workers, one at a time per machine."""

    def __init__(
        self,
        commands: Commands,
        heartbeats: HeartbeatProcessor,
        tokens: MachineTokens,
        fencing_log: FencingLog,
        connections: ConnectionPool,
        is_valid: Callable[[], bool],
        wake: Callable[[], None],
    ) -> None:
        """Send commands while `is_valid` returns True; call `wake` after each success."""
        self._commands = commands
        self._heartbeats = heartbeats
        self._tokens = tokens
        self._fencing_log = fencing_log
        self._connections = connections
        self._is_valid = is_valid
        self._wake = wake
        self._tasks: dict[MachineId, asyncio.Task[None]] = {}

    @property
    def in_flight(self) -> bool:
        """True while commands to any machine are being sent."""
        return bool(self._tasks)

    def close(self) -> None:
        """Cancel all requests in flight."""
        for task in self._tasks.values():
            task.cancel()

    def send(self, machine: Machine) -> None:
        """Send the machine's pending starts and stops without waiting for its next heartbeat.

        No request is begun while one to this machine is in flight: the sender then picks up the
        new commands itself.
        """
        if machine.id in self._tasks or not machine.addr or machine.incarnation is None:
            return
        task = asyncio.create_task(self._send_when_connected(machine))
        self._tasks[machine.id] = task
        task.add_done_callback(lambda _: self._tasks.pop(machine.id, None))

    async def _send_when_connected(self, machine: Machine) -> None:
        """Wait for a connection, then send all pending commands."""
        async with self._connections:
            await self._send_pending(machine)

    async def _send_pending(self, machine: Machine) -> None:
        """Send the stops once and starts until none is left.

        After a failure the commands are sent with the responses to the machine's heartbeats.
        """
        stops = self._commands.stops(machine, monotonic_now())
        while self._is_valid() and machine.incarnation is not None:
            starts = self._commands.direct_starts(machine)
            commands = stops + [wire.start_command(str(b.task), b.attempt) for b in starts]
            if not commands:
                return
            token = self._tokens.current(machine)
            body = wire.encode(wire.direct_commands(token, machine.incarnation, commands))
            self._commands.direct_sent(starts)
            for binding in starts:
                self._fencing_log.on_start(
                    machine.id, binding.task, binding.attempt, token, "direct"
                )
            if not await self._request(machine, token, body, starts):
                return
            self._wake()
            stops = []

    async def _request(
        self, machine: Machine, token: FencingToken, body: bytes, starts: list[Binding]
    ) -> bool:
        """Send one request; return True if the worker has executed the commands.

        Without an answer it is unknown whether the starts were executed.
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
            log.info("direct commands failed: machine=%s error=%s", machine.id, error)
            delayed = monotonic_now() - began > _DIRECT_TIMEOUT_S + _MAX_TIMEOUT_DELAY_S
            if isinstance(error, NoAnswerError) and error.timed_out and not delayed:
                # Two consecutive heartbeats have shown that the machine is running, so the request
                # did not arrive. If this node was delayed, an answer may only be unread.
                machine.mark_inbound_partitioned(True)
            if isinstance(error, SettingsError) or (
                isinstance(error, NoAnswerError) and not error.sent
            ):
                self._commands.direct_refused(starts)
            return False
        if report is not None and report.machine != machine.id:
            # The address belongs to another machine by now, whose reply proves nothing here.
            log.warning(
                "direct commands answered by another machine: machine=%s addr=%s answered_by=%s",
                machine.id,
                machine.addr,
                report.machine,
            )
            return False
        if answer.status in (400, 409):
            self._fencing_log.on_refused(machine.id, token, report)
            self._commands.direct_refused(starts)
        if report is None:
            return False
        # The heartbeat is processed first: once its sequence number is known, an older heartbeat
        # that does not list the task yet can't be taken as proof that the task is gone.
        self._heartbeats.handle_direct_reply(report, machine.id, monotonic_now(), wall_now())
        if answer.status == 200:
            self._commands.direct_executed(starts)
        return answer.status == 200
