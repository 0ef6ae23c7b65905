"""Logging of recurring findings: a message is logged only when it differs from the last one."""

from __future__ import annotations

import logging


class ChangeLog:
    """Wrapper of a logger that suppresses repetitions of the last message."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._said = ""

    def info(self, text: str) -> None:
        """Log the text at level INFO unless it is the text logged last."""
        self._say(logging.INFO, text)

    def error(self, text: str) -> None:
        """Log the text at level ERROR unless it is the text logged last."""
        self._say(logging.ERROR, text)

    def _say(self, level: int, text: str) -> None:
        if text != self._said:
            self._said = text
            self._log.log(level, "%s", text)

    def reset(self) -> None:
        """Log the next text even if it repeats the last one."""
        self._said = ""
