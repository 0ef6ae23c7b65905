"""A simulated deployment: several whole controllers in one process, in simulated time.

The controllers are the real `daemon.Controller`; the network, the state service, the cloud, the
workers and the users are small state machines written from the protocol. Faults are drawn from a
seed, and the protocol's invariants are checked on the true state of the simulation. Runs with the
same seed are identical.

The daemon never imports this package. Processor time, sockets, memory, packet loss and
retransmission, and clock drift are not simulated, so a run says nothing about them.
"""
