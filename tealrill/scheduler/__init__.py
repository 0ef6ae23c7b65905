"""Scheduling decisions: queue order, placement, preemption, scale-out and failure detection.

Pure functions and plain state, without I/O and clock: the current time is a parameter.
"""
