"""Client library: its requests and pauses, and whole runs against a controller.

One of these is over a network that drops responses.
"""

from __future__ import annotations

import asyncio
import random
import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from tealrill import wire
from tealrill.cli import main
from tealrill.client import (
    AsyncClient,
    Graph,
    RequestRejectedError,
    RetriesExhaustedError,
    Retry,
    each,
    failed,
    protocol,
)
from tealrill.client.files import GraphFileError, check, schema
from tealrill.client.protocol import Clock, Pause, Request, Response
from tealrill.graphs.model import Submission
from tests.fakes import FakeWorker
from tests.test_graphs_node import run_with_controller
from tests.test_node import _TIMEOUT_S, NodeHarness

_ROOT = Path(__file__).resolve().parent.parent


class _SimulatedTime:
    def __init__(self) -> None:
        self.now = 100.0


def _drive(
    call: protocol.Call[Any], responses: list[Response], time: _SimulatedTime
) -> tuple[Any, list[Any]]:
    """Run a call on simulated time; return its result or exception, and its steps."""
    steps: list[Any] = []
    response: Response | None = None
    try:
        while True:
            step = call.send(response)
            steps.append(step)
            response = None
            if isinstance(step, Pause):
                time.now += step.duration_s
            else:
                response = responses.pop(0) if responses else Response(0, {})
    except StopIteration as stop:
        return stop.value, steps
    except protocol.ClientError as error:
        return error, steps


_RETRIED_RESPONSES = st.lists(
    st.builds(
        Response,
        st.sampled_from([0, 429, 500, 503, 504]),
        st.just({}),
        st.none() | st.floats(0.0, 30.0),
    ),
    max_size=12,
)


@given(_RETRIED_RESPONSES, st.sampled_from([200, 201, 400, 404, 409, 422]), st.integers(0, 9))
def test_call_retries_until_final_response_or_time_limit(
    responses: list[Response], final_status: int, seed: int
) -> None:
    time = _SimulatedTime()
    clock = Clock(lambda: time.now, random.Random(seed))
    retries = len(responses)
    final = Response(final_status, {"error": "so"})
    call = protocol.submit_job(clock, Retry(total_s=60.0), {"id": "wk-1"})
    result, steps = _drive(call, [*responses, final], time)
    requests = [step for step in steps if isinstance(step, Request)]
    assert len({(s.method, s.path, s.body) for s in requests}) == 1
    pauses = [step.duration_s for step in steps if isinstance(step, Pause)]
    assert sum(pauses) <= 60.0 * 1.25
    # No pause is shorter than one second or than `Retry-After`.
    for response, pause in zip(responses, pauses, strict=False):
        assert pause >= max(1.0, response.retry_after_s or 0.0)
    if isinstance(result, RetriesExhaustedError):
        assert len(requests) <= retries
    elif final_status in (200, 201):
        assert result == final.body and len(requests) == retries + 1
    else:
        assert isinstance(result, RequestRejectedError) and result.status == final_status


@given(st.lists(st.integers(1, 3000), max_size=60))
def test_split_keeps_every_node_in_order_within_size_limit(sizes: list[int]) -> None:
    nodes = [{"key": f"n{i}", "job": {"x": "y" * size}} for i, size in enumerate(sizes)]
    parts = protocol.split(nodes, 5000)
    assert [node for part in parts for node in part] == nodes
    assert all(len(orjson.dumps(part)) <= 5000 + 2 or len(part) == 1 for part in parts)
    assert parts == protocol.split(list(nodes), 5000)


def _build_family_graph() -> Graph:
    graph = Graph("fam1", team="blue", job_class="train", memory_gb=1, cpus=1, image_gb=0.1)

    @graph.remote(image="cut", estimate_s=5, tasks=2)
    def subset(script: str) -> None: ...

    @graph.remote(image="hint", estimate_s=5, tasks=2, max_retries=1)
    def hint(subsets: Any) -> None: ...

    @graph.remote(estimate_s=1)
    def pack(parts: Any, name: str) -> dict[str, Any]:
        return {"image": f"pack-{name}"}

    @graph.remote(image="sweep", estimate_s=1)
    def clean(what: Any) -> None: ...

    hints = [hint.remote(each(cut)) for cut in subset.map(["latin", "greek"])]
    packed = pack.options(cpus=2).remote(hints, "small")
    clean.remote(failed(packed))
    return graph


def test_remote_calls_add_nodes_and_reference_arguments_add_edges() -> None:
    message = _build_family_graph().message()
    nodes = {node["key"]: node for node in message["nodes"]}
    assert list(nodes) == [
        "subset-latin", "subset-greek", "hint-latin", "hint-greek", "pack-small", "clean-small",
    ]  # fmt: skip
    assert nodes["hint-latin"]["after"] == [{"node": "subset-latin", "each": True, "when": "done"}]
    assert nodes["hint-latin"]["maxRetries"] == 1
    assert nodes["pack-small"]["after"] == ["hint-latin", "hint-greek"]
    assert nodes["pack-small"]["job"]["bundle"] == "pack-small"
    assert nodes["pack-small"]["job"]["vcpus"] == 2
    assert nodes["clean-small"]["after"][0]["when"] == "failed"
    assert message == _build_family_graph().message()
    wire.decode(orjson.dumps(message), Submission)
    shape = check(message)
    assert shape.nodes == 6 and shape.edges == 5


def test_graph_builder_rejects_invalid_calls() -> None:
    graph, other = Graph("fam1"), Graph("fam2")

    @graph.remote(image="a")
    def first(what: Any = None) -> None: ...

    @other.remote(image="b")
    def second() -> None: ...

    with pytest.raises(TypeError, match="a job has no colour"):
        graph.remote(colour="red")(lambda: None)
    with pytest.raises(ValueError, match="no node of graph"):
        first.remote(second.remote())
    with pytest.raises(TypeError, match="remote"):
        first()
    ref = first.remote()
    with pytest.raises(ValueError, match="in two ways"):
        first.remote([ref, failed(ref)])
    assert first.remote().key == "first.2"


def test_async_client_runs_graph_to_its_end_despite_lost_responses() -> None:
    async def scenario(harness: NodeHarness) -> None:
        worker = FakeWorker("m-000001")
        finished = asyncio.Event()
        rng = random.Random(3)
        port = harness.client._address.port

        async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Forward all requests; drop about a third of the responses with their connection."""
            upstream_writer, upstream_reader = None, None
            try:
                upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", port)
                while data := await reader.read(65536):
                    upstream_writer.write(data)
                    response = await upstream_reader.read(65536)
                    if rng.random() < 0.33:
                        break
                    writer.write(response)
            finally:
                writer.close()
                if upstream_writer is not None:
                    upstream_writer.close()

        async def run_worker() -> None:
            while True:
                await harness.send_heartbeat(worker)
                for name, task in list(worker.tasks.items()):
                    is_held = not first_end_observed.is_set() and not name.startswith(
                        f"{first.id}/"
                    )
                    if task["status"] == "running" and not is_held:
                        started.append(name)
                        worker.end(name, "done")
                await asyncio.sleep(0.02)

        started: list[str] = []
        graph = _build_family_graph()
        first = graph["subset-latin"]
        first_end_observed = asyncio.Event()
        """Until it is set no other node ends, even if the client is slow to observe the first."""
        server = await asyncio.start_server(forward, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        worker_task = asyncio.create_task(run_worker())
        try:
            async with AsyncClient([address], Retry(first_s=0.02, timeout_s=2.0)) as client:
                run = await client.submit(graph)
                ready, rest = await run.wait([first, graph["clean-small"]], num_returns=1,
                                             timeout_s=_TIMEOUT_S, poll_s=0.05)  # fmt: skip
                assert ready == [first] and rest == [graph["clean-small"]]
                first_end_observed.set()
                ready, rest = await run.wait(timeout_s=_TIMEOUT_S, poll_s=0.05)
                assert len(ready) == 6 and not rest
                assert (await run.progress())["status"] == "done"
                assert (await run.status(graph["clean-small"]))["status"] == "aborted"
                assert await run.cancel() == "done"
                # A repeated submission is recognised as the same graph.
                assert (await (await client.submit(graph)).progress())["counts"]["done"] == 5
                with pytest.raises(RequestRejectedError, match="409"):
                    await client.submit(Graph("fam1"))
        finally:
            worker_task.cancel()
            server.close()
        assert len(started) == len(set(started)) == 9
        finished.set()

    run_with_controller(scenario)


# -- files and the command line -------------------------------------------------------------------

_GRAPH_FILE = """
id = "fam9"

[defaults]
lineup = "train"
crew = "blue"
shape = "sweep"
urgency = "standard"
pieces = 1
vcpus = 1.0
gpus = 0.0
memoryGb = 1.0
bundle = "img-07"
sizeGb = 0.1
samePlace = false
scatter = false
loaners = true
guessS = 5.0
snapshotS = 0.0
flushS = 0.0

[[nodes]]
key = "cut"
job = { pieces = 2 }

[[nodes]]
key = "hint"
after = [{ node = "cut", each = true }]
job = { pieces = 2 }

[[nodes]]
key = "pack"
after = ["hint"]
"""


@pytest.mark.parametrize(
    ("old", "new", "pattern"),
    [
        ('after = ["hint"]', 'aftr = ["hint"]', "node 'pack': .*aftr"),
        ('after = ["hint"]', 'after = ["hnt"]', "node 'pack', after: no node 'hnt'"),
        ("pieces = 2", "pieces = 0", "node 'cut', job, pieces"),
        ("each = true", 'each = "yes"', "node 'hint', after"),
        ('id = "fam9"', 'id = "fam"', "id: "),
        ('crew = "blue"', "", "node 'cut': crew missing"),
        ("job = { pieces = 2 }\n\n[[nodes]]\nkey = \"hint\"", '[[nodes]]\nkey = "hint"',
         "node 'hint', after: 2 tasks"),
        ('key = "cut"', 'key = "cut"\nafter = ["pack"]', "waits for itself: .*cut"),
        ("[defaults]", "[defalts]", "defalts"),
    ],
)  # fmt: skip
def test_graph_file_errors_name_their_location(
    tmp_path: Path, old: str, new: str, pattern: str
) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_GRAPH_FILE.replace(old, new, 1))
    result = CliRunner().invoke(main, ["graph", "check", str(path)])
    assert result.exit_code == 2
    with pytest.raises(GraphFileError, match=pattern):
        check(tomllib.loads(path.read_text()))


def test_published_schema_equals_generated_schema() -> None:
    published = (_ROOT / "docs" / "graph.schema.json").read_bytes()
    assert orjson.loads(published) == schema()


def test_draw_command_writes_dot_and_svg(tmp_path: Path) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_GRAPH_FILE)
    result = CliRunner().invoke(main, ["graph", "draw", str(path)])
    assert result.exit_code == 0 and result.output.count("->") == 2 and "cut" in result.output
    target = tmp_path / "graph.svg"
    result = CliRunner().invoke(main, ["graph", "draw", str(path), "--to", str(target)])
    assert result.exit_code == 0, result.output
    content = target.read_text()
    assert content.count("<rect") == 3 and content.count("<line") == 2 and "pack" in content
    result = CliRunner().invoke(main, ["graph", "draw", str(path), "--most", "1"])
    assert result.output.count("->") == 2


def test_graph_commands_submit_watch_show_and_cancel(tmp_path: Path) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_GRAPH_FILE)

    async def scenario(harness: NodeHarness) -> None:
        address = str(harness.client._address)

        async def run(*arguments: str) -> Result:
            command = ["graph", *arguments, "--address", address]
            return await asyncio.to_thread(CliRunner().invoke, main, command)

        worker = FakeWorker("m-000001")

        async def run_worker() -> None:
            while True:
                await harness.send_heartbeat(worker)
                for name, task in list(worker.tasks.items()):
                    if task["status"] == "running":
                        worker.end(name, "done")
                await asyncio.sleep(0.02)

        assert (await run("show", "fam9", "--retry-s", "0")).exit_code == 2
        submitted = await run("submit", str(path))
        assert submitted.exit_code == 0, submitted.output
        assert "fam9  accepted  3 nodes" in submitted.output
        worker_task = asyncio.create_task(run_worker())
        try:
            watched = await run("watch", "fam9", "--json")
        finally:
            worker_task.cancel()
        assert watched.exit_code == 0, watched.output
        last_line = orjson.loads(watched.output.strip().splitlines()[-1])
        assert (last_line["status"], last_line["counts"]["done"]) == ("done", 3)
        shown = await run("show", "fam9", "--nodes")
        assert "fam9-00001  done" in shown.output and "hint" in shown.output
        cancelled = await run("cancel", "fam9")
        assert (cancelled.exit_code, cancelled.output.split()[1]) == (0, "done")
        second_submission = await run("submit", str(path), "--id", "fam10")
        assert "fam10  accepted" in second_submission.output
        assert "aborted" in (await run("cancel", "fam10")).output
        assert (await run("watch", "fam10")).exit_code == 1

    run_with_controller(scenario)


def test_daemon_does_not_import_client_and_tool_libraries() -> None:
    import subprocess
    import sys

    code = (
        "import sys, tealrill.cli, tealrill.daemon, tealrill.graphs.extension; "
        "print([m for m in ('httpx', 'rich', 'jsonschema', 'pydot', 'grandalf', 'svgwrite') "
        "if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, cwd=_ROOT, text=True
    )
    assert result.stdout.strip() == "[]"
