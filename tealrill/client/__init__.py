"""Client library: submit, watch and cancel jobs and task graphs, blocking or with asyncio.

Values are not passed between tasks: a task is an image that runs on a machine, and data is passed
in images and in the users' own storage. An `ObjectRef` only expresses that a node has ended.

    from tealrill.client import Client, Graph

    graph = Graph("fam412", team="foundry", job_class="subset-builds")

    @graph.remote(image="subsetter-12", image_gb=1.8, cpus=8, memory_gb=25, estimate_s=50)
    def subset(script): ...

    @graph.remote(image="packer-3", image_gb=0.4, cpus=2, memory_gb=4, estimate_s=20)
    def pack(parts): ...

    pack.remote(subset.map(["latin", "greek", "cyrillic"]))
    with Client("10.0.0.1:8080") as client:
        run = client.submit(graph)
        ready, rest = run.wait(num_returns=1, timeout_s=60)
"""

from tealrill.client.connection import AsyncClient, AsyncRun, Client, Run
from tealrill.client.graph import Graph, ObjectRef, Task, each, ended, failed
from tealrill.client.protocol import (
    ClientError,
    NotFoundError,
    RequestRejectedError,
    Response,
    RetriesExhaustedError,
    Retry,
)

__all__ = [
    "AsyncClient",
    "AsyncRun",
    "Client",
    "ClientError",
    "Graph",
    "NotFoundError",
    "ObjectRef",
    "RequestRejectedError",
    "Response",
    "RetriesExhaustedError",
    "Retry",
    "Run",
    "Task",
    "each",
    "ended",
    "failed",
]
