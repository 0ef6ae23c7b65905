"""Task graphs: jobs that wait for other jobs. docs/graphs.md shows them to users."""
