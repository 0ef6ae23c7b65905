"""The receiver's half of notifications: takes each event once, whatever is lost on the way.

Over a network that loses acknowledgements a sender alone can't deliver once: when none comes, it
must send again. What is repeated is told from what is new here, by one number a subscription that
is kept in the same SQLite transaction as the event's effect (docs/notes/002-notifications.md).

    inbox = Inbox("billing.db")

    def charge(event, db):
        db.execute("INSERT INTO charges VALUES (?, ?)", (event.subject, event.id))

    receiver = Receiver(inbox, charge, secrets=["whsec_..."])
    answer = receiver.take(headers, body)      # a status and a body for the HTTP response
"""

from tealrill.webhooks.inbox import DeliveryResult, Inbox
from tealrill.webhooks.verifier import Answer, Event, Receiver, RetryLaterError

__all__ = ["Answer", "DeliveryResult", "Event", "Inbox", "Receiver", "RetryLaterError"]
