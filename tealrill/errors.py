"""The base of all exceptions that this package raises."""


class TealrillError(Exception):
    """Something failed in a way that the program knows of and names."""
