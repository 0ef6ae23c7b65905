"""Who leads, and every right to speak to workers in the leader's place."""
