"""Programs for development: loads, studies of cost, and days of our own for the bench."""
