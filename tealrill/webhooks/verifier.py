"""Webhook requests over HTTP: verification of the signature, parsing, and the response.

Events are CloudEvents 1.0 in structured mode, signed according to Standard Webhooks 1.0. The
signature covers the id, the timestamp and the body. In binary mode the event's attributes are sent
in headers, which it does not cover, so with a secret only structured mode is accepted.
"""

from __future__ import annotations

import binascii
import sqlite3
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import orjson
from cloudevents.core.base import BaseCloudEvent
from cloudevents.core.bindings.http import HTTPMessage, from_http_event
from cloudevents.core.exceptions import BaseCloudEventException
from standardwebhooks import Webhook, WebhookVerificationError

from tealrill.errors import TealrillError
from tealrill.webhooks.inbox import DeliveryResult, Inbox

STRUCTURED: Final = "application/cloudevents+json"
MOST_BODY: Final = 64 * 1024
_STATUSES: Final = {
    DeliveryResult.APPLIED: 200,
    DeliveryResult.REPEATED: 200,
    DeliveryResult.EARLY: 409,
}


class RetryLaterError(TealrillError):
    """Raised by a handler to roll the event back and have the sender deliver it again later."""

    def __init__(self, why: str, retry_after_s: int = 5) -> None:
        super().__init__(why)
        self.retry_after_s = retry_after_s


class WebhookError(TealrillError):
    """The request is invalid, and sending it again would not help."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Event:
    """One event; (`subscription`, `number`) identifies it and is never reused."""

    id: str
    type: str
    source: str
    subject: str | None
    time: str | None
    subscription: str
    number: int
    after: int
    data: Any


@dataclass(frozen=True, slots=True)
class Answer:
    """The HTTP response to one delivery."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    verdict: DeliveryResult | None = None


Handler = Callable[[Event, sqlite3.Connection], object]
"""Applies an event through the connection of the inbox; see `Inbox.take`."""


class Receiver:
    """Receives webhook requests for an inbox."""

    def __init__(self, inbox: Inbox, handler: Handler, secrets: Sequence[str] = ()) -> None:
        """Create a receiver that applies each event for `inbox` by `handler`.

        `secrets` are shared with the sender (`whsec_...`). A signature by any of them is accepted,
        so that keys can be rotated. Without secrets, signatures are not verified.
        """
        self._inbox = inbox
        self._handler = handler
        self._keys = [Webhook(secret) for secret in secrets]

    def take(self, headers: Mapping[str, str], body: bytes) -> Answer:
        """Verify and apply one request and return the HTTP response. Thread-safe."""
        names = {name.lower(): value for name, value in headers.items()}
        try:
            self._check(names, body)
            event = read(names, body)
            self._check_id(names, event)
        except WebhookError as error:
            return _answer(error.status, {"error": str(error)})
        try:
            verdict = self._inbox.take(
                event.subscription,
                event.number,
                event.after,
                lambda connection: self._handler(event, connection),
            )
        except RetryLaterError as error:
            after = {"Retry-After": str(error.retry_after_s)}
            return _answer(503, {"error": str(error)}, after)
        except sqlite3.OperationalError as error:
            # The database is locked or the disk full. The transaction was rolled back.
            return _answer(503, {"error": str(error)}, {"Retry-After": "5"})
        found = {"verdict": verdict.value, "last": self._inbox.last(event.subscription)}
        return _answer(_STATUSES[verdict], found, verdict=verdict)

    def _check_id(self, names: Mapping[str, str], event: Event) -> None:
        """Check that the event has the id of the header, which is the one that is signed."""
        if self._keys and names["webhook-id"] != event.id:
            raise WebhookError(400, "webhook-id is not the event's id")

    def _check(self, names: Mapping[str, str], body: bytes) -> None:
        """Check the size and the signature, which may be by any key.

        The library compares signatures in constant time.
        """
        if len(body) > MOST_BODY:
            raise WebhookError(413, "the body is larger than 64 KiB")
        if not self._keys:
            return
        if not names.get("content-type", "").lower().startswith(STRUCTURED):
            raise WebhookError(415, f"signed events come as {STRUCTURED}")
        if not any(_is_signed_by(key, names, body) for key in self._keys):
            raise WebhookError(401, "no key has signed this, or its time is off")


def _is_signed_by(key: Webhook, names: Mapping[str, str], body: bytes) -> bool:
    try:
        key.verify(body, dict(names), json_parse=False)
    except (WebhookVerificationError, ValueError, binascii.Error, OverflowError):
        return False
    return True


def _answer(
    status: int,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
    verdict: DeliveryResult | None = None,
) -> Answer:
    given = {"Content-Type": "application/json", **(headers or {})}
    return Answer(status, orjson.dumps(body), given, verdict)


def read(names: Mapping[str, str], body: bytes) -> Event:
    """Parse an event from a request, in structured or binary mode; raises `WebhookError`."""
    try:
        found = from_http_event(HTTPMessage(dict(names), body))
        event = _event(found)
    except (BaseCloudEventException, ValueError, KeyError, TypeError, AttributeError) as error:
        raise WebhookError(400, f"no event: {error}") from None
    return event


def _event(found: BaseCloudEvent) -> Event:
    attributes = found.get_attributes()
    subscription, number = attributes["subscription"], int(attributes["sequence"])
    after = int(attributes["after"])
    if not isinstance(subscription, str) or not 0 < len(subscription) <= 200:
        raise WebhookError(400, "subscription: missing or too long")
    if not 0 <= after < number < 2**63:
        raise WebhookError(400, f"sequence {number} can't come after {after}")
    time = found.get_time()
    return Event(
        id=found.get_id(),
        type=found.get_type(),
        source=found.get_source(),
        subject=found.get_subject(),
        time=time.isoformat() if time is not None else None,
        subscription=subscription,
        number=number,
        after=after,
        data=found.get_data(),
    )
