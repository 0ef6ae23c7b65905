"""tealrill: a cluster scheduler built on preemption based backfill."""

__version__ = "0.1.0"
