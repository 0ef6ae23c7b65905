"""Leader election, lease extension and revocation, and renewal of workers on behalf of a leader."""
