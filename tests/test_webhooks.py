"""Webhook receiver: events are applied once and in order despite lost messages and crashes."""

from __future__ import annotations

import functools
import sqlite3
import subprocess
import sys
import threading
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from standardwebhooks import Webhook

from tealrill.webhooks import Answer, DeliveryResult, Event, Inbox, Receiver, RetryLaterError
from tealrill.webhooks.inbox import InboxError

_OLD, _NEW = "whsec_" + "b2xkLWtleS1vbGQta2V5", "whsec_" + "bmV3LWtleS1uZXcta2V5"


def _body(number: int, after: int | None = None, **changes: Any) -> bytes:
    event = {
        "specversion": "1.0", "id": f"sub-1/{number}", "type": "tealrill.job.done",
        "source": "/tealrill/north", "subject": "pay-000412", "time": "2026-12-01T10:00:00Z",
        "subscription": "sub-1", "sequence": f"{number:020d}",
        "after": str(number - 1 if after is None else after), "data": {"status": "done"},
    }  # fmt: skip
    return orjson.dumps({**event, **changes})


def _headers(body: bytes, secret: str | None, number: int, late_s: float = 0.0) -> dict[str, str]:
    headers = {"Content-Type": "application/cloudevents+json; charset=utf-8"}
    if secret is not None:
        at = datetime.now(UTC) - timedelta(seconds=late_s)
        signature = Webhook(secret).sign(f"sub-1/{number}", at, body.decode())
        headers["Webhook-Id"] = f"sub-1/{number}"
        headers["Webhook-Timestamp"] = str(int(at.timestamp()))
        headers["Webhook-Signature"] = signature
    return headers


def _charges(inbox: Inbox) -> list[int]:
    return [row[0] for row in inbox.connection.execute("SELECT number FROM charges ORDER BY rowid")]


def _inbox(path: str | Path = ":memory:") -> Inbox:
    inbox = Inbox(path)
    inbox.connection.execute("CREATE TABLE IF NOT EXISTS charges (number INTEGER)")
    return inbox


def _charge(event: Event, db: sqlite3.Connection) -> None:
    db.execute("INSERT INTO charges VALUES (?)", (event.number,))


# -- the inbox ------------------------------------------------------------------------------------


class _Sender:
    """State of a sender that delivers one event at a time and may give an event up."""

    def __init__(self) -> None:
        self.next = 1
        self.settled = 0
        """The last acknowledged event, the predecessor of the next one."""
        self.dead: list[int] = []
        self.acknowledged: list[int] = []
        self.sent: list[tuple[int, int]] = []


_ACTS = st.lists(
    st.sampled_from(
        ["deliver", "lose", "crash", "give up", "give up unsent", "late", "resend", "resend lost"]
    ),
    max_size=60,
)


@given(_ACTS, st.randoms(use_true_random=False))
def test_each_event_is_applied_once_whatever_is_lost(acts: list[str], luck: Any) -> None:
    inbox, sender = _inbox(), _Sender()
    ever_dead: set[int] = set()

    def send(number: int, after: int, crash: bool = False) -> DeliveryResult | None:
        sender.sent.append((number, after))

        def apply(db: sqlite3.Connection) -> None:
            db.execute("INSERT INTO charges VALUES (?)", (number,))
            if crash:
                raise KeyboardInterrupt

        try:
            return inbox.take("sub-1", number, after, apply)
        except KeyboardInterrupt:
            return None

    for act in acts:
        if act == "late" and sender.sent:
            # A delayed request arrives after later ones. It may be applied or have no effect.
            send(*luck.choice(sender.sent))
            continue
        if act.startswith("resend"):
            if sender.dead:
                number = sender.dead[0]
                assert send(number, number - 1) in (
                    DeliveryResult.APPLIED,
                    DeliveryResult.REPEATED,
                )
                if act == "resend":
                    sender.dead.pop(0)
                    sender.acknowledged.append(number)
            continue
        if act == "give up unsent":
            sender.dead.append(sender.next)
            ever_dead.add(sender.next)
            sender.next += 1
            continue
        verdict = send(sender.next, sender.settled, crash=act == "crash")
        assert verdict in (DeliveryResult.APPLIED, DeliveryResult.REPEATED, None)
        if act == "deliver":
            sender.acknowledged.append(sender.next)
            sender.settled = sender.next
            sender.next += 1
        elif act == "give up":
            # The sender does not know whether it was applied; the predecessor stays the same.
            sender.dead.append(sender.next)
            ever_dead.add(sender.next)
            sender.next += 1
    charges = _charges(inbox)
    assert len(charges) == len(set(charges))
    assert set(sender.acknowledged) <= set(charges)
    assert set(charges) <= {number for number, _ in sender.sent}
    in_turn = [number for number in charges if number not in ever_dead]
    assert in_turn == sorted(in_turn)
    for number in range(1, sender.next):
        assert inbox.applied("sub-1", number) == (number in charges)
    assert all(a <= b for a, b in inbox.passed_over("sub-1"))


def test_an_event_that_comes_too_early_is_not_applied_and_the_number_is_told() -> None:
    receiver = Receiver(_inbox(), _charge)
    body = _body(3)
    answer = receiver.take(_headers(body, None, 3), body)
    assert (answer.status, orjson.loads(answer.body)["last"]) == (409, 0)
    # The sender has given the first two up, so they are passed over; one arrives later.
    body = _body(3, after=0)
    assert receiver.take(_headers(body, None, 3), body).verdict is DeliveryResult.APPLIED
    for _ in range(2):
        body = _body(2)
        answer = receiver.take(_headers(body, None, 2), body)
        assert answer.status == 200
    assert answer.verdict is DeliveryResult.REPEATED


def test_a_process_that_is_killed_in_the_middle_leaves_nothing_half_done(tmp_path: Path) -> None:
    path = tmp_path / "inbox.db"
    _inbox(path).close()
    code = (
        "import os, sys; from tealrill.webhooks import Inbox\n"
        "inbox = Inbox(sys.argv[1])\n"
        "def apply(db):\n"
        "    db.execute('INSERT INTO charges VALUES (?)', (int(sys.argv[2]),))\n"
        "    if sys.argv[3] == 'before': os._exit(9)\n"
        "inbox.take('sub-1', int(sys.argv[2]), int(sys.argv[2]) - 1, apply)\n"
        "os._exit(9)\n"
    )
    root = Path(__file__).resolve().parent.parent
    for number in (1, 2):
        for moment in ("before", "after", "after"):
            arguments = [sys.executable, "-c", code, str(path), str(number), moment]
            assert subprocess.run(arguments, cwd=root).returncode == 9
    inbox = _inbox(path)
    assert _charges(inbox) == [1, 2] and inbox.last("sub-1") == 2


def test_threads_that_bring_the_same_event_apply_it_once(tmp_path: Path) -> None:
    inboxes = [_inbox(tmp_path / "inbox.db") for _ in range(4)]
    verdicts: list[DeliveryResult] = []

    def bring(inbox: Inbox) -> None:
        for number in range(1, 21):
            apply = functools.partial(_record, number=number)
            verdicts.append(inbox.take("sub-1", number, number - 1, apply))

    threads = [threading.Thread(target=bring, args=(inbox,)) for inbox in inboxes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert verdicts.count(DeliveryResult.APPLIED) == 20 and len(verdicts) == 80
    assert _charges(inboxes[0]) == list(range(1, 21))


def _record(db: sqlite3.Connection, number: int) -> None:
    db.execute("INSERT INTO charges VALUES (?)", (number,))


def test_a_file_of_another_kind_or_a_later_version_is_refused(tmp_path: Path) -> None:
    damaged = tmp_path / "damaged.db"
    damaged.write_bytes(b"no database at all" * 100)
    with pytest.raises(InboxError):
        Inbox(damaged)
    later = _inbox(tmp_path / "later.db")
    later.connection.execute("UPDATE tealrill_version SET version = 2")
    later.close()
    with pytest.raises(InboxError, match="version 2"):
        Inbox(tmp_path / "later.db")


# -- hooks ----------------------------------------------------------------------------------------


def test_either_key_may_have_signed_while_keys_are_changed() -> None:
    receiver = Receiver(_inbox(), _charge, [_OLD, _NEW])
    for number, secret in ((1, _OLD), (2, _NEW)):
        body = _body(number)
        assert receiver.take(_headers(body, secret, number), body).status == 200


def _spoil(name: str) -> tuple[dict[str, str], bytes]:
    body = _body(1)
    headers = _headers(body, _OLD, 1)
    match name:
        case "body":
            body = body.replace(b"pay-000412", b"pay-000413")
        case "key":
            headers = _headers(body, _NEW, 1)
        case "old":
            headers = _headers(body, _OLD, 1, late_s=3600.0)
        case "early":
            headers = _headers(body, _OLD, 1, late_s=-3600.0)
        case "none":
            headers = _headers(body, None, 1)
        case "garbage":
            headers["Webhook-Signature"] = "v1"
        case "base64":
            headers["Webhook-Signature"] = "v1,???"
        case "time":
            headers["Webhook-Timestamp"] = "9" * 40
        case "id":
            body = _body(1, id="sub-1/7")
            at = datetime.now(UTC)
            headers["Webhook-Timestamp"] = str(int(at.timestamp()))
            headers["Webhook-Signature"] = Webhook(_OLD).sign("sub-1/1", at, body.decode())
        case "binary":
            headers["Content-Type"] = "application/json"
        case "large":
            body = b"x" * 70_000
    return headers, body


@pytest.mark.parametrize(
    ("name", "status"),
    [
        ("body", 401), ("key", 401), ("old", 401), ("early", 401), ("none", 401),
        ("garbage", 401), ("base64", 401), ("time", 401), ("id", 400), ("binary", 415),
        ("large", 413),
    ],
)  # fmt: skip
def test_what_was_not_signed_so_is_refused_and_changes_nothing(name: str, status: int) -> None:
    inbox = _inbox()
    answer = Receiver(inbox, _charge, [_OLD]).take(*_spoil(name))
    assert answer.status == status, answer.body
    assert _charges(inbox) == [] and inbox.last("sub-1") == 0


_NAMES = ("id", "type", "source", "sequence", "after", "subscription", "time", "specversion")
_ODD = (
    st.none()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=5)
    | st.lists(st.integers(0, 9), max_size=2)
)


@given(
    st.binary(max_size=300)
    | st.builds(lambda k, v: _body(1, **{k: v}), st.sampled_from(_NAMES), _ODD)
)
def test_whatever_comes_is_answered(body: bytes) -> None:
    inbox = _inbox()
    answer = Receiver(inbox, _charge).take(_headers(body, None, 1), body)
    assert isinstance(answer, Answer) and answer.status in (200, 400, 409)
    assert (len(_charges(inbox)) == 1) == (answer.status == 200)


def test_a_handler_that_can_not_now_keeps_nothing_and_is_asked_again() -> None:
    inbox = _inbox()
    busy = [True]

    def handler(event: Event, db: sqlite3.Connection) -> None:
        _charge(event, db)
        if busy.pop():
            raise RetryLaterError("the ledger is closed", retry_after_s=30)

    receiver = Receiver(inbox, handler)
    body = _body(1)
    busy.append(False)
    busy.append(True)
    answer = receiver.take(_headers(body, None, 1), body)
    assert (answer.status, answer.headers["Retry-After"]) == (503, "30")
    assert _charges(inbox) == []
    assert receiver.take(_headers(body, None, 1), body).verdict is DeliveryResult.APPLIED
    assert _charges(inbox) == [1]
