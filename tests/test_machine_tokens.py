"""Fencing tokens of a term and of its machines, compared with those of other terms."""

from __future__ import annotations

from typing import Any

import pytest

from tealrill import wire
from tealrill.fleet.heartbeats import NewerTokenError
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.machine_tokens import MachineTokens
from tealrill.leadership.election import KnownLeader
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import (
    TOKENS_PER_TERM,
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    last_token_of,
)
from tests.samples import make_heartbeat, spec

TERM = FencingToken(7 * TOKENS_PER_TERM + 1)
LATER_TERM = FencingToken(last_token_of(TERM) + 1)
MACHINE = MachineId("m-1")
NOW = Monotonic(100.0)


def _machine(token: int = 0) -> Machine:
    machine = Machine(MACHINE, "big", "north", False, NOW)
    machine.token = FencingToken(token)
    return machine


class _Term:
    """A leader with one machine."""

    def __init__(self) -> None:
        self.job_store = JobStore(4.0)
        self.job: Job = self.job_store.add(spec(pieces=2), Wall(0.0), Revision(1))
        self.fleet = Fleet(self.job_store, TERM, NOW, 8.0)
        self.fleet.inherit([], NOW)
        self.sequence = 0

    def answer(self, token: int, *tasks: Any) -> list[dict[str, Any]] | None:
        """Return the commands of the response to a heartbeat with these tasks."""
        self.sequence += 1
        heartbeat = make_heartbeat(MACHINE, 1, self.sequence, token, list(tasks))
        return self.fleet.heartbeats.process(heartbeat, MACHINE, NOW, Wall(0.0))

    @property
    def machine(self) -> Machine:
        return self.fleet.machines[MACHINE]

    @property
    def token(self) -> FencingToken:
        return self.fleet.tokens.current(self.machine)

    def bind(self) -> Binding:
        binding = self.fleet.bind(self.job, self.machine, False, Wall(0.0), NOW)
        assert binding is not None
        self.commit()
        return binding

    def commit(self) -> None:
        for chunk in self.job.chunks.values():
            chunk.committed = chunk.version


def _exited(binding: Binding, why: str) -> tuple[str, int, str, str]:
    return str(binding.task), binding.attempt, wire.EXITED, why


def test_tokens_belong_to_one_term() -> None:
    tokens = MachineTokens(TERM)
    others = (0, TERM - 1, LATER_TERM, LATER_TERM + 1)
    assert [tokens.is_current(token) for token in others] == [False] * 4
    assert tokens.is_current(TERM) and tokens.is_current(last_token_of(TERM))
    assert [tokens.is_newer(token) for token in others] == [False, False, True, True]
    assert not tokens.is_newer(last_token_of(TERM))


def test_token_is_never_below_one_that_the_worker_has_shown() -> None:
    tokens, machine = MachineTokens(TERM), _machine()
    assert tokens.current(machine) == TERM
    for shown, expected in (
        (TERM - 1, TERM), (TERM + 5, TERM + 5), (TERM + 2, TERM + 5), (LATER_TERM, TERM + 5),
    ):  # fmt: skip
        tokens.observe(machine, shown)
        assert tokens.current(machine) == expected


def test_last_token_of_term_is_not_exceeded() -> None:
    tokens, machine = MachineTokens(TERM), _machine(last_token_of(TERM) - 1)
    assert tokens.advance(machine)
    assert not tokens.advance(machine)
    assert tokens.current(machine) == last_token_of(TERM)


def test_nothing_is_forgotten_without_a_higher_token() -> None:
    term = _Term()
    term.answer(TERM)
    binding = term.bind()
    term.machine.token = last_token_of(TERM)
    term.fleet.commands.direct_sent([binding])
    term.answer(TERM, _exited(binding, wire.WHY_DONE))
    term.commit()
    assert term.answer(TERM, _exited(binding, wire.WHY_DONE)) == []


def test_worker_of_later_term_supersedes_leader_and_raised_tokens_do_not() -> None:
    term = _Term()
    assert term.answer(last_token_of(TERM)) == []
    assert term.machine.has_current_token
    with pytest.raises(NewerTokenError):
        term.answer(LATER_TERM)


def test_list_of_earlier_term_is_not_current_however_high_its_token() -> None:
    term = _Term()
    term.answer(TERM - 1)
    assert not term.machine.has_current_token
    assert term.token == TERM


@pytest.mark.parametrize(
    "why", [wire.WHY_DONE, wire.WHY_STOPPED, wire.WHY_ERROR, *sorted(wire.REFUSALS)]
)
@pytest.mark.parametrize("answered", [False, True])
def test_forgotten_attempt_of_any_outcome_is_fenced(why: str, answered: bool) -> None:
    term = _Term()
    term.answer(TERM)
    binding, direct_token = term.bind(), term.token
    term.fleet.commands.direct_sent([binding])
    if answered:
        term.fleet.commands.direct_executed([binding])
    assert term.answer(direct_token, _exited(binding, why)) == []
    assert term.token == direct_token
    term.commit()
    forget = wire.forget_command(str(binding.task), binding.attempt)
    assert term.answer(direct_token, _exited(binding, why)) == [forget]
    assert term.token > direct_token


def test_attempt_without_direct_start_is_forgotten_under_the_same_token() -> None:
    """Starts in responses are not executed late, so that a higher token would fence nothing."""
    term = _Term()
    term.answer(TERM)
    binding = term.bind()
    start = wire.start_command(str(binding.task), binding.attempt)
    assert term.answer(TERM) == [start]
    term.answer(TERM, _exited(binding, wire.WHY_DONE))
    term.commit()
    forget = wire.forget_command(str(binding.task), binding.attempt)
    assert term.answer(TERM, _exited(binding, wire.WHY_DONE)) == [forget]
    assert term.token == TERM


def test_attempts_fenced_together_are_forgotten_one_after_the_other() -> None:
    term = _Term()
    term.answer(TERM)
    first, second = term.bind(), term.bind()
    term.fleet.commands.direct_sent([first, second])
    term.fleet.commands.direct_executed([first, second])
    exits = [_exited(first, wire.WHY_DONE), _exited(second, wire.WHY_DONE)]
    running = (str(second.task), second.attempt, wire.RUNNING, None)
    term.answer(TERM, exits[0], running)
    term.commit()
    assert term.answer(TERM, exits[0], running) == [wire.forget_command(exits[0][0], 1)]
    assert term.token == TERM + 1
    term.answer(TERM + 1, exits[1])
    term.commit()
    assert term.answer(TERM + 1, exits[1]) == [wire.forget_command(exits[1][0], 1)]
    assert term.token == TERM + 1


def test_direct_start_under_the_raised_token_is_fenced_by_the_next_one() -> None:
    """The first forget may be lost, so that the worker learns of the token by the direct start."""
    term = _Term()
    term.answer(TERM, ("wk-000999/0", 4, wire.EXITED, wire.WHY_STOPPED))
    binding = term.bind()
    term.fleet.commands.direct_sent([binding])
    assert binding.direct_token == term.token == TERM + 1
    term.answer(TERM + 1, _exited(binding, wire.WHY_ERROR))
    term.commit()
    term.answer(TERM + 1, _exited(binding, wire.WHY_ERROR))
    assert term.token == TERM + 2


def test_forgotten_attempt_without_binding_is_fenced() -> None:
    term = _Term()
    forget = wire.forget_command("wk-000999/0", 4)
    assert term.answer(TERM, ("wk-000999/0", 4, wire.EXITED, wire.WHY_STOPPED)) == [forget]
    assert term.token > TERM


def test_repeated_forget_is_fenced_again() -> None:
    """The response with the forget was lost, and a direct start was sent under its token."""
    term = _Term()
    exited = ("wk-000999/0", 4, wire.EXITED, wire.WHY_STOPPED)
    term.answer(TERM, exited)
    token_of_direct_start = term.token
    term.answer(TERM, exited)
    assert term.token > token_of_direct_start


def test_machine_seen_again_keeps_tokens_that_its_worker_has_seen() -> None:
    term = _Term()
    term.answer(TERM + 3)
    term.fleet.drop(term.machine)
    term.answer(TERM + 3)
    assert term.token == TERM + 3


def test_delegate_uses_token_that_worker_accepts() -> None:
    leader = KnownLeader("node-1", TERM, last_token=last_token_of(TERM))
    assert leader.token_for(0) == leader.token_for(TERM) == TERM
    assert leader.token_for(TERM + 9) == TERM + 9
    assert leader.token_for(LATER_TERM) is None


def test_leader_of_previous_version_has_one_token() -> None:
    leader = KnownLeader("node-1", TERM)
    assert leader.token_for(TERM - 1) == TERM
    assert leader.token_for(TERM + 1) is None
