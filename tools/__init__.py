"""Development tools: load generators, cost studies, and site and day files for the bench."""
