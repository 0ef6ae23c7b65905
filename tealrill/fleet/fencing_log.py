"""What fencing has prevented or failed to prevent in a term, for the log and for operators.

An attempt that a worker was told to forget must not be listed as running again, and a direct
command whose token was overtaken must be refused. Both are told by machine and term, so that an
incident can be traced without the worker's own records.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from tealrill import wire
from tealrill.types import Attempt, FencingToken, MachineId, Monotonic, TaskId

log = logging.getLogger(__name__)

MAX_REMEMBERED_FORGETS: Final = 4096
"""Number of forgotten attempts that are remembered; the oldest are dropped first."""


@dataclass(slots=True)
class FencingCounts:
    """Numbers of events of this term."""

    forgotten: int = 0
    """Commands to forget an attempt."""
    listed_again: int = 0
    """Attempts that were listed without having exited after they were forgotten."""
    refused_for_token: int = 0
    """Direct requests that a worker refused because it had seen a higher token."""
    refused_for_incarnation: int = 0
    """Direct requests that a worker refused because it was in another incarnation."""
    malformed: int = 0
    """Direct requests that a worker could not read."""


class FencingLog:
    """Logs and counts the fencing events of one term."""

    def __init__(self, term: FencingToken) -> None:
        self.counts = FencingCounts()
        self._term = term
        self._forgotten: OrderedDict[tuple[MachineId, TaskId, Attempt], Monotonic] = OrderedDict()

    def on_start(
        self, machine: MachineId, task: TaskId, attempt: Attempt, token: FencingToken, way: str
    ) -> None:
        """Log a start command that is sent; `way` tells how, such as "direct"."""
        log.debug(
            "start sent: machine=%s task=%s attempt=%d token=%d way=%s",
            machine,
            task,
            attempt,
            token,
            way,
        )

    def on_forget(
        self,
        machine: MachineId,
        task: TaskId,
        attempt: Attempt,
        token: FencingToken,
        now: Monotonic,
    ) -> None:
        """Remember that a worker was told to forget an attempt."""
        log.debug(
            "forget sent: machine=%s task=%s attempt=%d token=%d", machine, task, attempt, token
        )
        self.counts.forgotten += 1
        self._forgotten[machine, task, attempt] = now
        if len(self._forgotten) > MAX_REMEMBERED_FORGETS:
            self._forgotten.popitem(last=False)

    def drop_machine(self, machine: MachineId) -> None:
        """Remove what is kept of a machine that is gone."""
        for key in [key for key in self._forgotten if key[0] == machine]:
            del self._forgotten[key]

    def on_unbound_listed(
        self, machine: MachineId, task: TaskId, attempt: Attempt, now: Monotonic
    ) -> None:
        """Log an attempt without a binding that has not exited, if it was forgotten before."""
        forgotten_at = self._forgotten.pop((machine, task, attempt), None)
        if forgotten_at is not None:
            self.counts.listed_again += 1
            log.warning(
                "forgotten attempt listed again: machine=%s task=%s attempt=%d term=%d "
                "forgotten_s=%.1f",
                machine,
                task,
                attempt,
                self._term,
                now - forgotten_at,
            )

    def on_refused(self, machine: MachineId, token: int, report: wire.Heartbeat | None) -> None:
        """Log a direct request that a worker refused; `report` is the reply, if it has one."""
        seen = report.token if report is not None else 0
        if report is None:
            self.counts.malformed += 1
            reason = "malformed"
        elif seen > token:
            self.counts.refused_for_token += 1
            reason = "token"
        else:
            self.counts.refused_for_incarnation += 1
            reason = "incarnation"
        log.info(
            "direct commands refused: machine=%s term=%d reason=%s token=%d seen=%d",
            machine,
            self._term,
            reason,
            token,
            seen,
        )
