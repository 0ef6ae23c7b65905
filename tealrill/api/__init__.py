"""The HTTP interfaces for users, workers, other controllers and operators."""
