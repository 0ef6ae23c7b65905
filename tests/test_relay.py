"""Relay of users' requests to another controller."""

from __future__ import annotations

import asyncio
from typing import cast

import orjson
import pytest

from tealrill import settings
from tealrill.api import relay as relay_module
from tealrill.api.relay import JobRequests, Relay
from tealrill.http import Answer, Client, NoAnswerError
from tealrill.state.admission import Reply
from tests.samples import SETTINGS

_UNAVAILABLE = Reply(503, {"error": "down"}, 1, retry_on_other_node=True)
_RATE_LIMITED = Reply(503, {"error": "too many"}, 1)
_ACCEPTED = Reply(201, {"id": "wk-1"})


class _LocalAttempt:
    """The local attempt; it never completes if the reply is None."""

    def __init__(self, reply: Reply | None) -> None:
        self._reply = reply

    async def submit(self, body: bytes) -> Reply:
        if self._reply is None:
            await asyncio.Event().wait()
        assert self._reply is not None
        return self._reply


class _Peer:
    """Another controller; it is unreachable if the status is None."""

    def __init__(self, status: int | None) -> None:
        self.status = status
        self.request_count = 0

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Answer:
        self.request_count += 1
        assert (method, path) == ("POST", "/peer/v2/runs")
        if self.status is None:
            raise NoAnswerError("refused", False)
        answer = Answer()
        answer.status, answer.body = self.status, b"{}"
        return answer


def _submit(
    monkeypatch: pytest.MonkeyPatch, local: Reply | None, peer: int | None, failing: bool = False
) -> tuple[int, int]:
    monkeypatch.setattr("tealrill.api.relay._SUBMISSION_RELAY_DELAY_S", 0.01)
    parsed = settings.parse(orjson.dumps(SETTINGS))
    relay = Relay(cast(JobRequests, _LocalAttempt(local)), parsed, lambda: failing)
    peer_client = _Peer(peer)
    relay._peers = [cast(Client, peer_client)]
    return asyncio.run(relay.submit(b"{}")).status, peer_client.request_count


def test_conclusive_local_reply_is_not_relayed(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _submit(monkeypatch, _ACCEPTED, 201) == (201, 0)
    # A request that exceeds this controller's rate limit must not use another one's.
    assert _submit(monkeypatch, _RATE_LIMITED, 201) == (503, 0)


def test_inconclusive_local_attempt_is_relayed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert _submit(monkeypatch, _UNAVAILABLE, 201) == (201, 1)
    assert _submit(monkeypatch, _UNAVAILABLE, 422, failing=True) == (422, 1)
    assert _submit(monkeypatch, None, 200) == (200, 1)


def test_outage_on_all_controllers_returns_503(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _submit(monkeypatch, _UNAVAILABLE, 503) == (503, 1)
    assert _submit(monkeypatch, _UNAVAILABLE, None) == (503, 1)


def test_relay_rate_is_limited_during_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each failed relay costs processor time on three nodes, and an outage of three minutes had
    # 70,000 of them.
    now = [100.0]
    monkeypatch.setattr(relay_module, "monotonic_now", lambda: now[0])
    parsed = settings.parse(orjson.dumps(SETTINGS))
    relay = Relay(cast(JobRequests, _LocalAttempt(_UNAVAILABLE)), parsed, lambda: True)
    peer_client = _Peer(503)
    relay._peers = [cast(Client, peer_client)]

    def submit_repeatedly(count: int) -> set[int]:
        return {asyncio.run(relay.submit(b"{}")).status for _ in range(count)}

    assert submit_repeatedly(50) == {503} and peer_client.request_count == 2
    now[0] += 0.3
    assert submit_repeatedly(50) == {503} and peer_client.request_count == 3
    # One conclusive answer of another controller ends the restriction.
    now[0] += 0.3
    peer_client.status = 201
    assert submit_repeatedly(50) == {201} and peer_client.request_count == 53
