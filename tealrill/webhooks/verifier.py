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

STRUCTURED_CONTENT_TYPE: Final = "application/cloudevents+json"
MAX_BODY_BYTES: Final = 64 * 1024
_HTTP_STATUSES: Final = {
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

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
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
        self._verifiers = [Webhook(secret) for secret in secrets]

    def take(self, headers: Mapping[str, str], body: bytes) -> Answer:
        """Verify and apply one request and return the HTTP response. Thread-safe."""
        lower_headers = {name.lower(): value for name, value in headers.items()}
        try:
            self._verify(lower_headers, body)
            event = parse_event(lower_headers, body)
            self._verify_id(lower_headers, event)
        except WebhookError as error:
            return _json_answer(error.status, {"error": str(error)})
        try:
            verdict = self._inbox.take(
                event.subscription,
                event.number,
                event.after,
                lambda connection: self._handler(event, connection),
            )
        except RetryLaterError as error:
            retry_headers = {"Retry-After": str(error.retry_after_s)}
            return _json_answer(503, {"error": str(error)}, retry_headers)
        except sqlite3.OperationalError as error:
            # The database is locked or the disk full. The transaction was rolled back.
            return _json_answer(503, {"error": str(error)}, {"Retry-After": "5"})
        body_fields = {"verdict": verdict.value, "last": self._inbox.last(event.subscription)}
        return _json_answer(_HTTP_STATUSES[verdict], body_fields, verdict=verdict)

    def _verify_id(self, headers: Mapping[str, str], event: Event) -> None:
        """Check that the event has the id of the header, which is the one that is signed."""
        if self._verifiers and headers["webhook-id"] != event.id:
            raise WebhookError(400, "webhook-id is not the event's id")

    def _verify(self, headers: Mapping[str, str], body: bytes) -> None:
        """Check the size and the signature, which may be by any of the secrets.

        The library compares signatures in constant time.
        """
        if len(body) > MAX_BODY_BYTES:
            raise WebhookError(413, "the body is larger than 64 KiB")
        if not self._verifiers:
            return
        if not headers.get("content-type", "").lower().startswith(STRUCTURED_CONTENT_TYPE):
            raise WebhookError(415, f"signed events come as {STRUCTURED_CONTENT_TYPE}")
        if not any(_is_signed_by(verifier, headers, body) for verifier in self._verifiers):
            raise WebhookError(401, "no key has signed this, or its time is off")


def _is_signed_by(verifier: Webhook, headers: Mapping[str, str], body: bytes) -> bool:
    try:
        verifier.verify(body, dict(headers), json_parse=False)
    except (WebhookVerificationError, ValueError, binascii.Error, OverflowError):
        return False
    return True


def _json_answer(
    status: int,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
    verdict: DeliveryResult | None = None,
) -> Answer:
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return Answer(status, orjson.dumps(body), all_headers, verdict)


def parse_event(headers: Mapping[str, str], body: bytes) -> Event:
    """Parse an event from a request, in structured or binary mode; raises `WebhookError`."""
    try:
        cloud_event = from_http_event(HTTPMessage(dict(headers), body))
        event = _to_event(cloud_event)
    except (BaseCloudEventException, ValueError, KeyError, TypeError, AttributeError) as error:
        raise WebhookError(400, f"no event: {error}") from None
    return event


def _to_event(cloud_event: BaseCloudEvent) -> Event:
    attributes = cloud_event.get_attributes()
    subscription, number = attributes["subscription"], int(attributes["sequence"])
    after = int(attributes["after"])
    if not isinstance(subscription, str) or not 0 < len(subscription) <= 200:
        raise WebhookError(400, "subscription: missing or too long")
    if not 0 <= after < number < 2**63:
        raise WebhookError(400, f"sequence {number} can't come after {after}")
    time = cloud_event.get_time()
    return Event(
        id=cloud_event.get_id(),
        type=cloud_event.get_type(),
        source=cloud_event.get_source(),
        subject=cloud_event.get_subject(),
        time=time.isoformat() if time is not None else None,
        subscription=subscription,
        number=number,
        after=after,
        data=cloud_event.get_data(),
    )
