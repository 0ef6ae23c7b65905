"""Rate limiter: order of waiting requests, cost of waiting, and the rate itself."""

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
from tests.fakes import VirtualTimeLoop

T = TypeVar("T")
RATES = (271.2, 145.6, 278.7, 140.0, 35.0)
"""For the first three, `0.6 * rate` and `rate - 0.4 * rate` are rounded differently."""


def _run(
    monkeypatch: pytest.MonkeyPatch, work: Coroutine[Any, Any, T]
) -> tuple[T, VirtualTimeLoop]:
    loop = VirtualTimeLoop()
    monkeypatch.setattr(rate_limiter, "monotonic_now", lambda: Monotonic(loop.at))
    try:
        return loop.run_until_complete(work), loop
    finally:
        loop.close()


def test_each_waiter_is_woken_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """If 2,000 waiters polled the bucket themselves, that took half of a controller's time."""

    async def wait() -> list[float]:
        limiter = RateLimiter(100.0)
        served: list[float] = []

        async def acquire_tokens() -> None:
            await limiter.acquire(priority=RequestPriority.NORMAL)
            served.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(acquire_tokens() for _ in range(2000)))
        return served

    served, loop = _run(monkeypatch, wait())
    assert served == sorted(served)
    # A full bucket of 100 at once, the others at 100 per second.
    assert served[99] == 0.0 and served[-1] == pytest.approx(19.0, abs=0.2)
    assert loop.callbacks_run < 5 * 2000 + 10_000


def test_lease_request_overtakes_queued_polls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait() -> list[str]:
        limiter = RateLimiter(10.0)
        limiter.consume(10.0)
        order: list[str] = []

        async def acquire_tokens(name: str, priority: RequestPriority) -> None:
            await limiter.acquire(priority=priority)
            order.append(name)

        listing = asyncio.create_task(acquire_tokens("list", RequestPriority.LOW))
        polls = [
            asyncio.create_task(acquire_tokens("poll", RequestPriority.NORMAL)) for _ in range(20)
        ]
        await asyncio.sleep(0.5)
        lease = asyncio.create_task(acquire_tokens("lease", RequestPriority.HIGH))
        await asyncio.gather(listing, lease, *polls)
        return order

    order, _ = _run(monkeypatch, wait())
    assert order.index("lease") <= 6 and order[-1] == "list"


def test_tokens_of_cancelled_waiters_are_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait() -> float:
        limiter = RateLimiter(1.0)
        await limiter.acquire()
        cancelled = [asyncio.create_task(limiter.acquire()) for _ in range(50)]
        await asyncio.sleep(0.1)
        for task in cancelled:
            task.cancel()
        await asyncio.gather(*cancelled, return_exceptions=True)
        await limiter.acquire()
        return asyncio.get_running_loop().time()

    at, _ = _run(monkeypatch, wait())
    assert at == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("rate", RATES)
def test_low_priority_request_for_maximum_amount_is_granted(
    rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If need and availability are rounded differently, the request waits forever."""

    async def wait() -> float:
        limiter = RateLimiter(rate)
        await limiter.acquire(1.0)
        await limiter.acquire(10 * rate, RequestPriority.LOW)
        return asyncio.get_running_loop().time()

    at, loop = _run(monkeypatch, wait())
    assert at <= 1.0 / rate + 0.01
    assert loop.callbacks_run < 50


@given(
    st.floats(1, 500),
    st.lists(
        st.tuples(st.floats(0, 3), st.sampled_from(list(RequestPriority)), st.floats(0.1, 20)),
        max_size=60,
    ),
)
def test_granted_tokens_never_exceed_rate(
    rate: float, requested: list[tuple[float, RequestPriority, float]]
) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        grants: list[tuple[float, float]] = []

        async def wait() -> None:
            limiter = RateLimiter(rate)

            async def acquire_tokens(at: float, priority: RequestPriority, amount: float) -> None:
                await asyncio.sleep(at)
                await limiter.acquire(amount, priority)
                grants.append((asyncio.get_running_loop().time(), amount))

            await asyncio.gather(*(acquire_tokens(*arguments) for arguments in requested))

        _run(monkeypatch, wait())
    assert len(grants) == len(requested)
    total = 0.0
    for at, amount in grants:
        # An amount above the burst size is granted with a full bucket; later ones wait for it.
        assert total <= max(1.0, rate) + rate * at + 1e-6
        total += amount


class _CountingHttpClient:
    """An HTTP client that answers at once and counts requests."""

    def __init__(self) -> None:
        self.requests = 0

    async def request(self, *_: object) -> Answer:
        self.requests += 1
        answer = Answer()
        answer.status, answer.body = 404, b""
        return answer


def test_polls_beyond_rate_are_refused_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    """Queued until their users give up, excess polls would cost processor time without a result."""

    async def poll() -> tuple[int, int, float]:
        values = wire.decode(
            b'{"getRps": 300, "putRps": 60, "valueKb": 8, "txnOps": 16}', dict[str, Any]
        )
        client = StateClient("127.0.0.1:1", _limits(values), 3)
        http_client = _CountingHttpClient()
        client._http = http_client  # type: ignore[assignment]
        refused: list[float] = []

        async def poll_once() -> None:
            try:
                await client.get("job/wk-1", RequestPriority.NORMAL)
            except RateLimitedError:
                refused.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(poll_once() for _ in range(3000)))
        return len(refused), http_client.requests, max(refused)

    (refused, served, at), _ = _run(monkeypatch, poll())
    assert refused + served == 3000 and at == 0.0
    assert 90 < served < 130  # a full bucket, and the tokens of one second


def _limits(values: dict[str, Any]) -> StateLimits:
    return StateLimits(
        rps=values["getRps"],
        write_rps=values["putRps"],
        value_kb=values["valueKb"],
        txn_ops=values["txnOps"],
    )
