"""Task graphs: jobs that depend on other jobs. docs/graphs.md describes them for users."""
