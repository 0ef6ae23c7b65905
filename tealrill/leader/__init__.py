"""One term of leadership: its records, its loops and its decisions."""
