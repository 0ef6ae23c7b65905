"""Budgets: who waits, in which order, and what waiting costs."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill import wire
from tealrill.http import Answer
from tealrill.settings import StateLimits
from tealrill.state import rate_limiter
from tealrill.state.client import RateLimitedError, StateClient
from tealrill.state.rate_limiter import RateLimiter, RequestPriority
from tealrill.types import Monotonic
from tests.standins import JumpingLoop

T = TypeVar("T")
RATES = (271.2, 145.6, 278.7, 140.0, 35.0)
"""Of the first three, 0.6 of the rate and the rate less 0.4 of it are rounded differently."""


def _run(monkeypatch: pytest.MonkeyPatch, work: Coroutine[Any, Any, T]) -> tuple[T, JumpingLoop]:
    loop = JumpingLoop()
    monkeypatch.setattr(rate_limiter, "monotonic_now", lambda: Monotonic(loop.at))
    try:
        return loop.run_until_complete(work), loop
    finally:
        loop.close()


def test_those_who_wait_are_woken_once_each(monkeypatch: pytest.MonkeyPatch) -> None:
    """2,000 polls that each looked again every few milliseconds took half of a controller."""

    async def wait() -> list[float]:
        found = RateLimiter(100.0)
        served: list[float] = []

        async def one() -> None:
            await found.acquire(priority=RequestPriority.NORMAL)
            served.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(one() for _ in range(2000)))
        return served

    served, loop = _run(monkeypatch, wait())
    assert served == sorted(served)
    # The bucket's 100 at once, the rest at 100 a second.
    assert served[99] == 0.0 and served[-1] == pytest.approx(19.0, abs=0.2)
    assert loop.turns < 5 * 2000 + 10_000


def test_a_lease_does_not_wait_behind_polls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait() -> list[str]:
        found = RateLimiter(10.0)
        found.consume(10.0)
        order: list[str] = []

        async def one(name: str, priority: RequestPriority) -> None:
            await found.acquire(priority=priority)
            order.append(name)

        later = asyncio.create_task(one("list", RequestPriority.LOW))
        polls = [asyncio.create_task(one("poll", RequestPriority.NORMAL)) for _ in range(20)]
        await asyncio.sleep(0.5)
        lease = asyncio.create_task(one("lease", RequestPriority.HIGH))
        await asyncio.gather(later, lease, *polls)
        return order

    order, _ = _run(monkeypatch, wait())
    assert order.index("lease") <= 6 and order[-1] == "list"


def test_what_is_given_to_one_who_has_gone_is_not_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait() -> float:
        found = RateLimiter(1.0)
        await found.acquire()
        terminated = [asyncio.create_task(found.acquire()) for _ in range(50)]
        await asyncio.sleep(0.1)
        for task in terminated:
            task.cancel()
        await asyncio.gather(*terminated, return_exceptions=True)
        await found.acquire()
        return asyncio.get_running_loop().time()

    at, _ = _run(monkeypatch, wait())
    assert at == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("rate", RATES)
def test_one_of_the_lowest_rank_that_needs_all_it_may_take_gets_it(
    rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two roundings of the same part of the bucket differed, and it waited for ever."""

    async def wait() -> float:
        found = RateLimiter(rate)
        await found.acquire(1.0)
        await found.acquire(10 * rate, RequestPriority.LOW)
        return asyncio.get_running_loop().time()

    at, loop = _run(monkeypatch, wait())
    assert at <= 1.0 / rate + 0.01
    assert loop.turns < 50


@given(
    st.floats(1, 500),
    st.lists(
        st.tuples(st.floats(0, 3), st.sampled_from(list(RequestPriority)), st.floats(0.1, 20)),
        max_size=60,
    ),
)
def test_no_more_is_given_than_the_rate_allows(
    rate: float, wishes: list[tuple[float, RequestPriority, float]]
) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        given_at: list[tuple[float, float]] = []

        async def wait() -> None:
            found = RateLimiter(rate)

            async def one(at: float, priority: RequestPriority, amount: float) -> None:
                await asyncio.sleep(at)
                await found.acquire(amount, priority)
                given_at.append((asyncio.get_running_loop().time(), amount))

            await asyncio.gather(*(one(*wish) for wish in wishes))

        _run(monkeypatch, wait())
    assert len(given_at) == len(wishes)
    total = 0.0
    for at, amount in given_at:
        # One that is larger than the bucket goes with a full one, and the next ones wait for it.
        assert total <= max(1.0, rate) + rate * at + 1e-6
        total += amount


class _Answers:
    """The state service, reached at once."""

    def __init__(self) -> None:
        self.requests = 0

    async def request(self, *_: object) -> Answer:
        self.requests += 1
        answer = Answer()
        answer.status, answer.body = 404, b""
        return answer


def test_polls_beyond_the_rate_are_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """They were held for as long as their users waited, and looked at again and again."""

    async def poll() -> tuple[int, int, float]:
        limits = wire.decode(
            b'{"getRps": 300, "putRps": 60, "valueKb": 8, "txnOps": 16}', dict[str, Any]
        )
        client = StateClient("127.0.0.1:1", _limits(limits), 3)
        answers = _Answers()
        client._http = answers  # type: ignore[assignment]
        refused: list[float] = []

        async def one() -> None:
            try:
                await client.get("job/wk-1", RequestPriority.NORMAL)
            except RateLimitedError:
                refused.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(one() for _ in range(3000)))
        return len(refused), answers.requests, max(refused)

    (refused, served, at), _ = _run(monkeypatch, poll())
    assert refused + served == 3000 and at == 0.0
    assert 90 < served < 130  # a bucket full, and a second's worth


def _limits(found: dict[str, Any]) -> StateLimits:
    return StateLimits(
        rps=found["getRps"],
        write_rps=found["putRps"],
        value_kb=found["valueKb"],
        txn_ops=found["txnOps"],
    )
