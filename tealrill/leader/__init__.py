"""One term of leadership: its records, its loops and what it decides."""
