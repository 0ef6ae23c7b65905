"""A simulated deployment: several whole controllers in one process, in simulated time.

The controllers are the real `daemon.Controller`; the network, the state service, the cloud, the
workers and the users are small state machines written from the protocol. Faults are drawn from a
seed, and the protocol's invariants are checked on the true state of the simulation. The same seed
gives the same day.

Never imported by the daemon. Not simulated: processor time, sockets, memory, packet loss and
retransmission, clock drift. What a day shows holds for the simulation only.
"""
