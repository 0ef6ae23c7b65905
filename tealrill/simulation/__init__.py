"""A simulated deployment: several whole controllers in one process, in simulated time.

The nodes are the real `controller.Node`; the network, the state service, the cloud, the workers
and the users are small state machines written from the protocol. Troubles are drawn from a seed,
and the protocol's rules are checked on the world's own truth. The same seed gives the same day.

Never imported by the daemon. Left out: processes that stand still, processor time, sockets and
memory, packets that are lost and sent again, clocks that drift. What a day shows is of this world.
"""
