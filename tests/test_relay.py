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

_REFUSED = Reply(503, {"error": "down"}, 1, retry_on_other_node=True)
_FULL = Reply(503, {"error": "too many"}, 1)
_ACCEPTED = Reply(201, {"id": "wk-1"})


class _Local:
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
        self.asked = 0

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Answer:
        self.asked += 1
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
    relay = Relay(cast(JobRequests, _Local(local)), parsed, lambda: failing)
    other = _Peer(peer)
    relay._peers = [cast(Client, other)]
    return asyncio.run(relay.submit(b"{}")).status, other.asked


def test_what_this_node_settles_is_not_asked_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _submit(monkeypatch, _ACCEPTED, 201) == (201, 0)
    # A request that exceeds this controller's rate limit must not use another one's.
    assert _submit(monkeypatch, _FULL, 201) == (503, 0)


def test_a_node_cut_off_from_the_records_answers_by_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert _submit(monkeypatch, _REFUSED, 201) == (201, 1)
    assert _submit(monkeypatch, _REFUSED, 422, failing=True) == (422, 1)
    assert _submit(monkeypatch, None, 200) == (200, 1)


def test_an_outage_everywhere_is_answered_as_such(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _submit(monkeypatch, _REFUSED, 503) == (503, 1)
    assert _submit(monkeypatch, _REFUSED, None) == (503, 1)


def test_in_an_outage_other_nodes_are_not_asked_for_every_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each failed relay costs processor time on three nodes, and an outage of three minutes had
    # 70,000 of them.
    at = [100.0]
    monkeypatch.setattr(relay_module, "monotonic_now", lambda: at[0])
    parsed = settings.parse(orjson.dumps(SETTINGS))
    relay = Relay(cast(JobRequests, _Local(_REFUSED)), parsed, lambda: True)
    other = _Peer(503)
    relay._peers = [cast(Client, other)]

    def submitted(count: int) -> set[int]:
        return {asyncio.run(relay.submit(b"{}")).status for _ in range(count)}

    assert submitted(50) == {503} and other.asked == 2
    at[0] += 0.3
    assert submitted(50) == {503} and other.asked == 3
    # One conclusive answer of another controller ends the restriction.
    at[0] += 0.3
    other.status = 201
    assert submitted(50) == {201} and other.asked == 53
