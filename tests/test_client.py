"""The client library: what it asks and when, and against a whole node behind a cutting network."""

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


class _Time:
    def __init__(self) -> None:
        self.now = 100.0


def _drive(call: protocol.Call[Any], answers: list[Response], time: _Time) -> tuple[Any, list[Any]]:
    """Runs a call on simulated time; its result or exception, and its steps."""
    steps: list[Any] = []
    answer: Response | None = None
    try:
        while True:
            step = call.send(answer)
            steps.append(step)
            answer = None
            if isinstance(step, Pause):
                time.now += step.s
            else:
                answer = answers.pop(0) if answers else Response(0, {})
    except StopIteration as end:
        return end.value, steps
    except protocol.ClientError as error:
        return error, steps


_ANSWERS = st.lists(
    st.builds(
        Response,
        st.sampled_from([0, 429, 500, 503, 504]),
        st.just({}),
        st.none() | st.floats(0.0, 30.0),
    ),
    max_size=12,
)


@given(_ANSWERS, st.sampled_from([200, 201, 400, 404, 409, 422]), st.integers(0, 9))
def test_a_call_goes_on_until_a_final_answer_or_its_time_is_up(
    answers: list[Response], last: int, seed: int
) -> None:
    time = _Time()
    clock = Clock(lambda: time.now, random.Random(seed))
    given_up = len(answers)
    final = Response(last, {"error": "so"})
    call = protocol.submit_job(clock, Retry(total_s=60.0), {"id": "wk-1"})
    result, steps = _drive(call, [*answers, final], time)
    sent = [step for step in steps if isinstance(step, Request)]
    assert len({(s.method, s.path, s.body) for s in sent}) == 1
    pauses = [step.s for step in steps if isinstance(step, Pause)]
    assert sum(pauses) <= 60.0 * 1.25
    # No request sooner than a second, or than the service asked for.
    for answer, pause in zip(answers, pauses, strict=False):
        assert pause >= max(1.0, answer.retry_after_s or 0.0)
    if isinstance(result, RetriesExhaustedError):
        assert len(sent) <= given_up
    elif last in (200, 201):
        assert result == final.body and len(sent) == given_up + 1
    else:
        assert isinstance(result, RequestRejectedError) and result.status == last


@given(st.lists(st.integers(1, 3000), max_size=60))
def test_parts_hold_every_node_once_and_fit_a_body(sizes: list[int]) -> None:
    nodes = [{"key": f"n{i}", "job": {"x": "y" * size}} for i, size in enumerate(sizes)]
    parts = protocol.split(nodes, 5000)
    assert [node for part in parts for node in part] == nodes
    assert all(len(orjson.dumps(part)) <= 5000 + 2 or len(part) == 1 for part in parts)
    assert parts == protocol.split(list(nodes), 5000)


def _family() -> Graph:
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


def test_calls_become_nodes_and_references_edges() -> None:
    message = _family().message()
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
    assert message == _family().message()
    wire.decode(orjson.dumps(message), Submission)
    shape = check(message)
    assert shape.nodes == 6 and shape.edges == 5


def test_what_can_not_be_drawn_is_refused_where_it_is_written() -> None:
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


def test_a_graph_goes_from_a_program_to_its_end_over_a_network_that_cuts() -> None:
    async def scenario(harness: NodeHarness) -> None:
        worker = FakeWorker("m-000001")
        answers = asyncio.Event()
        cut = random.Random(3)
        port = harness.client._address.port

        async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Requests get there; of every three answers one is lost with its connection."""
            to, back = None, None
            try:
                back, to = await asyncio.open_connection("127.0.0.1", port)
                while data := await reader.read(65536):
                    to.write(data)
                    answer = await back.read(65536)
                    if cut.random() < 0.33:
                        break
                    writer.write(answer)
            finally:
                writer.close()
                if to is not None:
                    to.close()

        async def work() -> None:
            while True:
                await harness.send_heartbeat(worker)
                for name, task in list(worker.tasks.items()):
                    held = not first_is_seen.is_set() and not name.startswith(f"{first.id}/")
                    if task["status"] == "running" and not held:
                        started.append(name)
                        worker.end(name, "done")
                await asyncio.sleep(0.02)

        started: list[str] = []
        graph = _family()
        first = graph["subset-latin"]
        first_is_seen = asyncio.Event()
        """Until then no other node ends, however slowly the answers come."""
        server = await asyncio.start_server(pipe, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        working = asyncio.create_task(work())
        try:
            async with AsyncClient([address], Retry(first_s=0.02, timeout_s=2.0)) as client:
                run = await client.submit(graph)
                ready, rest = await run.wait([first, graph["clean-small"]], num_returns=1,
                                             timeout_s=_TIMEOUT_S, poll_s=0.05)  # fmt: skip
                assert ready == [first] and rest == [graph["clean-small"]]
                first_is_seen.set()
                ready, rest = await run.wait(timeout_s=_TIMEOUT_S, poll_s=0.05)
                assert len(ready) == 6 and not rest
                assert (await run.progress())["status"] == "done"
                assert (await run.status(graph["clean-small"]))["status"] == "aborted"
                assert await run.cancel() == "done"
                # Submitted once more, it is the same graph.
                assert (await (await client.submit(graph)).progress())["counts"]["done"] == 5
                with pytest.raises(RequestRejectedError, match="409"):
                    await client.submit(Graph("fam1"))
        finally:
            working.cancel()
            server.close()
        assert len(started) == len(set(started)) == 9
        answers.set()

    run_with_controller(scenario)


# -- files and the command line -------------------------------------------------------------------

_FILE = """
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
    ("old", "new", "named"),
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
def test_what_is_wrong_with_a_file_is_named(tmp_path: Path, old: str, new: str, named: str) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_FILE.replace(old, new, 1))
    result = CliRunner().invoke(main, ["graph", "check", str(path)])
    assert result.exit_code == 2
    with pytest.raises(GraphFileError, match=named):
        check(tomllib.loads(path.read_text()))


def test_the_published_schema_is_the_one_in_use() -> None:
    published = (_ROOT / "docs" / "graph.schema.json").read_bytes()
    assert orjson.loads(published) == schema()


def test_graphs_are_drawn(tmp_path: Path) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_FILE)
    result = CliRunner().invoke(main, ["graph", "draw", str(path)])
    assert result.exit_code == 0 and result.output.count("->") == 2 and "cut" in result.output
    target = tmp_path / "graph.svg"
    result = CliRunner().invoke(main, ["graph", "draw", str(path), "--to", str(target)])
    assert result.exit_code == 0, result.output
    content = target.read_text()
    assert content.count("<rect") == 3 and content.count("<line") == 2 and "pack" in content
    result = CliRunner().invoke(main, ["graph", "draw", str(path), "--most", "1"])
    assert result.output.count("->") == 2


def test_the_command_line_takes_a_file_to_its_end(tmp_path: Path) -> None:
    path = tmp_path / "graph.toml"
    path.write_text(_FILE)

    async def scenario(harness: NodeHarness) -> None:
        address = str(harness.client._address)

        async def run(*arguments: str) -> Result:
            given = ["graph", *arguments, "--address", address]
            return await asyncio.to_thread(CliRunner().invoke, main, given)

        worker = FakeWorker("m-000001")

        async def work() -> None:
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
        working = asyncio.create_task(work())
        try:
            watched = await run("watch", "fam9", "--json")
        finally:
            working.cancel()
        assert watched.exit_code == 0, watched.output
        last = orjson.loads(watched.output.strip().splitlines()[-1])
        assert (last["status"], last["counts"]["done"]) == ("done", 3)
        shown = await run("show", "fam9", "--nodes")
        assert "fam9-00001  done" in shown.output and "hint" in shown.output
        cancelled = await run("cancel", "fam9")
        assert (cancelled.exit_code, cancelled.output.split()[1]) == (0, "done")
        again = await run("submit", str(path), "--id", "fam10")
        assert "fam10  accepted" in again.output
        assert "aborted" in (await run("cancel", "fam10")).output
        assert (await run("watch", "fam10")).exit_code == 1

    run_with_controller(scenario)


def test_the_daemon_does_not_load_the_libraries_of_tools() -> None:
    import subprocess
    import sys

    code = (
        "import sys, tealrill.cli, tealrill.daemon, tealrill.graphs.extension; "
        "print([m for m in ('httpx', 'rich', 'jsonschema', 'pydot', 'grandalf', 'svgwrite') "
        "if m in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, cwd=_ROOT, text=True
    )
    assert found.stdout.strip() == "[]"
