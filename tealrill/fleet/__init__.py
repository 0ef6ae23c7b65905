"""Machines of one term: incarnations, leases, bindings, renting and releasing."""
