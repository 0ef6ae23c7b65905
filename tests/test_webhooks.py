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

_OLD_SECRET, _NEW_SECRET = "whsec_" + "b2xkLWtleS1vbGQta2V5", "whsec_" + "bmV3LWtleS1uZXcta2V5"


def _event_body(number: int, after: int | None = None, **changes: Any) -> bytes:
    event = {
        "specversion": "1.0", "id": f"sub-1/{number}", "type": "tealrill.job.done",
        "source": "/tealrill/north", "subject": "pay-000412", "time": "2026-12-01T10:00:00Z",
        "subscription": "sub-1", "sequence": f"{number:020d}",
        "after": str(number - 1 if after is None else after), "data": {"status": "done"},
    }  # fmt: skip
    return orjson.dumps({**event, **changes})


def _headers(body: bytes, secret: str | None, number: int, age_s: float = 0.0) -> dict[str, str]:
    headers = {"Content-Type": "application/cloudevents+json; charset=utf-8"}
    if secret is not None:
        signed_at = datetime.now(UTC) - timedelta(seconds=age_s)
        signature = Webhook(secret).sign(f"sub-1/{number}", signed_at, body.decode())
        headers["Webhook-Id"] = f"sub-1/{number}"
        headers["Webhook-Timestamp"] = str(int(signed_at.timestamp()))
        headers["Webhook-Signature"] = signature
    return headers


def _charged_numbers(inbox: Inbox) -> list[int]:
    return [row[0] for row in inbox.connection.execute("SELECT number FROM charges ORDER BY rowid")]


def _open_inbox(path: str | Path = ":memory:") -> Inbox:
    inbox = Inbox(path)
    inbox.connection.execute("CREATE TABLE IF NOT EXISTS charges (number INTEGER)")
    return inbox


def _record_charge(event: Event, db: sqlite3.Connection) -> None:
    db.execute("INSERT INTO charges VALUES (?)", (event.number,))


# -- the inbox ------------------------------------------------------------------------------------


class _Sender:
    """State of a sender that delivers one event at a time and may give an event up."""

    def __init__(self) -> None:
        self.next_number = 1
        self.last_acknowledged = 0
        """The last acknowledged event, the predecessor of the next one."""
        self.dead_letters: list[int] = []
        self.acknowledged: list[int] = []
        self.sent: list[tuple[int, int]] = []


_ACTIONS = st.lists(
    st.sampled_from(
        ["deliver", "lose", "crash", "give up", "give up unsent", "late", "resend", "resend lost"]
    ),
    max_size=60,
)


@given(_ACTIONS, st.randoms(use_true_random=False))
def test_events_applied_once_and_in_order_despite_losses_and_crashes(
    actions: list[str], rng: Any
) -> None:
    inbox, sender = _open_inbox(), _Sender()
    ever_given_up: set[int] = set()

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

    for action in actions:
        if action == "late" and sender.sent:
            # A delayed request arrives after later ones. It may be applied or have no effect.
            send(*rng.choice(sender.sent))
            continue
        if action.startswith("resend"):
            if sender.dead_letters:
                number = sender.dead_letters[0]
                assert send(number, number - 1) in (
                    DeliveryResult.APPLIED,
                    DeliveryResult.REPEATED,
                )
                if action == "resend":
                    sender.dead_letters.pop(0)
                    sender.acknowledged.append(number)
            continue
        if action == "give up unsent":
            sender.dead_letters.append(sender.next_number)
            ever_given_up.add(sender.next_number)
            sender.next_number += 1
            continue
        verdict = send(sender.next_number, sender.last_acknowledged, crash=action == "crash")
        assert verdict in (DeliveryResult.APPLIED, DeliveryResult.REPEATED, None)
        if action == "deliver":
            sender.acknowledged.append(sender.next_number)
            sender.last_acknowledged = sender.next_number
            sender.next_number += 1
        elif action == "give up":
            # The sender does not know whether it was applied; the predecessor stays the same.
            sender.dead_letters.append(sender.next_number)
            ever_given_up.add(sender.next_number)
            sender.next_number += 1
    charges = _charged_numbers(inbox)
    assert len(charges) == len(set(charges))
    assert set(sender.acknowledged) <= set(charges)
    assert set(charges) <= {number for number, _ in sender.sent}
    in_order = [number for number in charges if number not in ever_given_up]
    assert in_order == sorted(in_order)
    for number in range(1, sender.next_number):
        assert inbox.applied("sub-1", number) == (number in charges)
    assert all(a <= b for a, b in inbox.passed_over("sub-1"))


def test_early_event_rejected_with_last_applied_number() -> None:
    receiver = Receiver(_open_inbox(), _record_charge)
    body = _event_body(3)
    answer = receiver.take(_headers(body, None, 3), body)
    assert (answer.status, orjson.loads(answer.body)["last"]) == (409, 0)
    # The sender has given the first two up, so they are passed over; one arrives later.
    body = _event_body(3, after=0)
    assert receiver.take(_headers(body, None, 3), body).verdict is DeliveryResult.APPLIED
    for _ in range(2):
        body = _event_body(2)
        answer = receiver.take(_headers(body, None, 2), body)
        assert answer.status == 200
    assert answer.verdict is DeliveryResult.REPEATED


def test_killed_process_leaves_no_partial_transaction(tmp_path: Path) -> None:
    path = tmp_path / "inbox.db"
    _open_inbox(path).close()
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
        for exit_point in ("before", "after", "after"):
            arguments = [sys.executable, "-c", code, str(path), str(number), exit_point]
            assert subprocess.run(arguments, cwd=root).returncode == 9
    inbox = _open_inbox(path)
    assert _charged_numbers(inbox) == [1, 2] and inbox.last("sub-1") == 2


def test_concurrent_deliveries_apply_event_once(tmp_path: Path) -> None:
    inboxes = [_open_inbox(tmp_path / "inbox.db") for _ in range(4)]
    verdicts: list[DeliveryResult] = []

    def deliver_all(inbox: Inbox) -> None:
        for number in range(1, 21):
            apply = functools.partial(_insert_charge, number=number)
            verdicts.append(inbox.take("sub-1", number, number - 1, apply))

    threads = [threading.Thread(target=deliver_all, args=(inbox,)) for inbox in inboxes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert verdicts.count(DeliveryResult.APPLIED) == 20 and len(verdicts) == 80
    assert _charged_numbers(inboxes[0]) == list(range(1, 21))


def _insert_charge(db: sqlite3.Connection, number: int) -> None:
    db.execute("INSERT INTO charges VALUES (?)", (number,))


def test_inbox_rejects_damaged_file_and_newer_schema_version(tmp_path: Path) -> None:
    damaged_path = tmp_path / "damaged.db"
    damaged_path.write_bytes(b"no database at all" * 100)
    with pytest.raises(InboxError):
        Inbox(damaged_path)
    newer = _open_inbox(tmp_path / "later.db")
    newer.connection.execute("UPDATE tealrill_version SET version = 2")
    newer.close()
    with pytest.raises(InboxError, match="version 2"):
        Inbox(tmp_path / "later.db")


# -- the receiver ---------------------------------------------------------------------------------


def test_signature_by_any_secret_accepted_during_rotation() -> None:
    receiver = Receiver(_open_inbox(), _record_charge, [_OLD_SECRET, _NEW_SECRET])
    for number, secret in ((1, _OLD_SECRET), (2, _NEW_SECRET)):
        body = _event_body(number)
        assert receiver.take(_headers(body, secret, number), body).status == 200


def _invalid_request(name: str) -> tuple[dict[str, str], bytes]:
    body = _event_body(1)
    headers = _headers(body, _OLD_SECRET, 1)
    match name:
        case "body":
            body = body.replace(b"pay-000412", b"pay-000413")
        case "key":
            headers = _headers(body, _NEW_SECRET, 1)
        case "old":
            headers = _headers(body, _OLD_SECRET, 1, age_s=3600.0)
        case "early":
            headers = _headers(body, _OLD_SECRET, 1, age_s=-3600.0)
        case "none":
            headers = _headers(body, None, 1)
        case "garbage":
            headers["Webhook-Signature"] = "v1"
        case "base64":
            headers["Webhook-Signature"] = "v1,???"
        case "time":
            headers["Webhook-Timestamp"] = "9" * 40
        case "id":
            body = _event_body(1, id="sub-1/7")
            signed_at = datetime.now(UTC)
            headers["Webhook-Timestamp"] = str(int(signed_at.timestamp()))
            headers["Webhook-Signature"] = Webhook(_OLD_SECRET).sign(
                "sub-1/1", signed_at, body.decode()
            )
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
def test_invalid_request_rejected_without_effect(name: str, status: int) -> None:
    inbox = _open_inbox()
    answer = Receiver(inbox, _record_charge, [_OLD_SECRET]).take(*_invalid_request(name))
    assert answer.status == status, answer.body
    assert _charged_numbers(inbox) == [] and inbox.last("sub-1") == 0


_ATTRIBUTES = ("id", "type", "source", "sequence", "after", "subscription", "time", "specversion")
_ARBITRARY_VALUES = (
    st.none()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=5)
    | st.lists(st.integers(0, 9), max_size=2)
)


@given(
    st.binary(max_size=300)
    | st.builds(
        lambda k, v: _event_body(1, **{k: v}), st.sampled_from(_ATTRIBUTES), _ARBITRARY_VALUES
    )
)
def test_arbitrary_input_gets_a_response(body: bytes) -> None:
    inbox = _open_inbox()
    answer = Receiver(inbox, _record_charge).take(_headers(body, None, 1), body)
    assert isinstance(answer, Answer) and answer.status in (200, 400, 409)
    assert (len(_charged_numbers(inbox)) == 1) == (answer.status == 200)


def test_retry_later_error_rolls_back_and_redelivery_applies_event() -> None:
    inbox = _open_inbox()
    busy = [True]

    def handler(event: Event, db: sqlite3.Connection) -> None:
        _record_charge(event, db)
        if busy.pop():
            raise RetryLaterError("the ledger is closed", retry_after_s=30)

    receiver = Receiver(inbox, handler)
    body = _event_body(1)
    busy.append(False)
    busy.append(True)
    answer = receiver.take(_headers(body, None, 1), body)
    assert (answer.status, answer.headers["Retry-After"]) == (503, "30")
    assert _charged_numbers(inbox) == []
    assert receiver.take(_headers(body, None, 1), body).verdict is DeliveryResult.APPLIED
    assert _charged_numbers(inbox) == [1]
