"""Receiver library for notifications: applies each event exactly once, also after retransmissions.

A sender alone can't deliver exactly once: if an acknowledgement is lost, it has to send the event
again. The receiver detects duplicates by the highest sequence number applied per subscription,
which it stores in the same SQLite transaction as the event's effect
(docs/notes/002-notifications.md).

    inbox = Inbox("billing.db")

    def charge(event, db):
        db.execute("INSERT INTO charges VALUES (?, ?)", (event.subject, event.id))

    receiver = Receiver(inbox, charge, secrets=["whsec_..."])
    answer = receiver.take(headers, body)      # status and body of the HTTP response
"""

from tealrill.webhooks.inbox import DeliveryResult, Inbox
from tealrill.webhooks.verifier import Answer, Event, Receiver, RetryLaterError

__all__ = ["Answer", "DeliveryResult", "Event", "Inbox", "Receiver", "RetryLaterError"]
