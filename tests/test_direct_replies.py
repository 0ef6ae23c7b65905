"""A reply to a direct command counts only for the machine that it names."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from tealrill import wire
from tealrill.http import Answer
from tealrill.types import FencingToken, MachineId
from tests.samples import make_heartbeat
from tests.test_cancellation_deadlines import _MACHINE, _leader_with_bound_task

OTHER_MACHINE = MachineId("m-9")


def _reply(machine: MachineId, status: int, *tasks: Any) -> Answer:
    answer = Answer()
    answer.status, answer.complete = status, True
    answer.body = wire.encode(make_heartbeat(machine, 1, 900, 1, list(tasks)))
    return answer


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("machine", [_MACHINE, OTHER_MACHINE])
def test_reply_of_machine_that_took_over_an_address_proves_nothing(
    machine: MachineId, status: int
) -> None:
    leader, fleet, _, binding = _leader_with_bound_task()
    bound_machine = fleet.machines[_MACHINE]
    tasks = [(str(binding.task), binding.attempt, wire.RUNNING, None)] if status == 200 else []

    class ConnectionPool:
        async def request(self, *_: object) -> Answer:
            return _reply(machine, status, *tasks)

    leader.direct_commands._connections = cast(Any, ConnectionPool())
    executed = asyncio.run(
        leader.direct_commands._request(bound_machine, FencingToken(1), b"", [binding])
    )
    names_this_machine = machine == _MACHINE
    assert executed is (names_this_machine and status == 200)
    assert binding.start_confirmed is executed
    assert binding.direct_start_in_flight is not names_this_machine
    assert (bound_machine.sequence == 900) is names_this_machine
    assert fleet.machines.get(OTHER_MACHINE) is None
