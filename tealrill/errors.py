"""The base class of the exceptions that this package raises."""


class TealrillError(Exception):
    """An expected failure, described by its message."""
