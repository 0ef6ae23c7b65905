"""The machines of one term: incarnations, leases, bindings, rental and release."""
