"""Everything stored in the state service: its client, fencing, job records and users' requests."""
