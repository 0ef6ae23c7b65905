"""The fencing tokens of one term: each machine's worker is sent the one that is due to it.

A worker refuses direct commands whose token is lower than the highest one it has seen. Raising a
machine's token therefore fences all direct commands that were sent to it before, however late a
copy of them arrives. It needs no write to the state service, since a term owns its range of tokens
from its election on.
"""

from __future__ import annotations

import logging

from tealrill.fleet.machine import Machine
from tealrill.types import FencingToken, last_token_of

log = logging.getLogger(__name__)


class MachineTokens:
    """The tokens of one term and, by machine, the highest one that was used."""

    def __init__(self, term: FencingToken) -> None:
        self._term = term
        self._last = last_token_of(term)

    def is_current(self, token: int) -> bool:
        """Return whether the token belongs to this term."""
        return self._term <= token <= self._last

    def is_newer(self, token: int) -> bool:
        """Return whether the token belongs to a later term."""
        return token > self._last

    def current(self, machine: Machine) -> FencingToken:
        """Return the token for the next message to the machine's worker.

        It is at least as high as each token that the worker is known to have seen.
        """
        return max(machine.token, self._term)

    def observe(self, machine: Machine, token: int) -> None:
        """Record the highest token that a message of the machine's worker shows."""
        if self.is_current(token):
            machine.token = FencingToken(max(machine.token, token))

    def advance(self, machine: Machine) -> bool:
        """Raise the machine's token; return False if the term has no higher one."""
        token = self.current(machine)
        if token >= self._last:
            log.warning("no fencing token left: machine=%s term=%d", machine.id, self._term)
            return False
        machine.token = FencingToken(token + 1)
        return True
