"""A log line once a change: what a loop finds again and again is said when it is new."""

from __future__ import annotations

import logging


class ChangeLog:
    """Says what holds, each time that it differs from what was said before."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._said = ""

    def info(self, text: str) -> None:
        """Logs the text unless it is the one that was logged last."""
        self._say(logging.INFO, text)

    def error(self, text: str) -> None:
        """The same at the level of errors."""
        self._say(logging.ERROR, text)

    def _say(self, level: int, text: str) -> None:
        if text != self._said:
            self._said = text
            self._log.log(level, "%s", text)

    def reset(self) -> None:
        """The next text is logged in any case."""
        self._said = ""
