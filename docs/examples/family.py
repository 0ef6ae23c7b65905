"""The graph of family.toml built by a program, for several scripts at once."""

from __future__ import annotations

import sys
from typing import Any

from tealrill.client import Client, Graph, each, failed


def draw(graph_id: str, scripts: list[str]) -> Graph:
    """Return the graph for the given scripts."""
    graph = Graph(
        graph_id,
        team="red",
        job_class="subset-builds",
        cpus=1,
        memory_gb=1,
        image_gb=0.1,
        estimate_s=4,
        deadline_s=600,
    )

    @graph.remote(image="subsetter-12", tasks=24)
    def subset(script: str) -> None: ...

    @graph.remote(image="hinter-4", tasks=24)
    def hint(subsets: Any) -> None: ...

    @graph.remote(image="packer-3", cpus=2, max_retries=5)
    def pack(parts: Any) -> None: ...

    @graph.remote(image="packer-3")
    def sweep_up(what: Any) -> None: ...

    packed = pack.remote([hint.remote(each(cut)) for cut in subset.map(scripts)])
    sweep_up.remote(failed(packed))
    return graph


def main() -> None:
    """Submit the graph, wait for its end and exit with status 0 if it is done."""
    graph = draw("family2", ["latin", "greek", "cyrillic"])
    with Client("127.0.0.1:18080") as client:
        run = client.submit(graph)
        ready, rest = run.wait(num_returns=1, timeout_s=120)
        print(f"first: {ready[0].key}, {len(rest)} to go")
        run.wait(timeout_s=300)
        print(run.progress())
        sys.exit(0 if run.progress()["status"] == "done" else 1)


if __name__ == "__main__":
    main()
