"""`tealrill graph ...`: commands that check, submit, watch, cancel and draw graphs."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import click
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from tealrill.client import Client, ClientError, Retry
from tealrill.client.files import GraphFileError, check, load, schema
from tealrill.graphs.tracker import NODE_STATES

_POLL_S: Final = 2.0
_TERMINAL_STATUSES: Final = ("done", "failed", "aborted")
_TERMINAL_NODE_STATES: Final = NODE_STATES[3:]

_address_option = click.option(
    "--address",
    "addresses",
    multiple=True,
    default=["127.0.0.1:8080"],
    show_default=True,
    envvar="TEALRILL_ADDRESS",
    help="A controller's client address, host:port; repeatable.",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="JSON lines instead of text.")
_retry_option = click.option(
    "--retry-s", default=60.0, show_default=True, help="How long a request is retried, in seconds."
)


def _fail(error: object) -> None:
    click.echo(f"tealrill: {error}", err=True)
    sys.exit(2)


def _client(addresses: tuple[str, ...], retry_s: float) -> Client:
    return Client(addresses, Retry(total_s=retry_s))


def _print(message: dict[str, Any], as_json: bool) -> None:
    click.echo(orjson.dumps(message).decode() if as_json else _format_status(message))


def _format_status(message: dict[str, Any]) -> str:
    """Return the state of a graph as one line."""
    parts = [str(message.get("id", "")), str(message.get("status", ""))]
    if "nodes" in message:
        parts.append(f"{message['nodes']} nodes")
    counts = message.get("counts")
    if counts:
        parts += [f"{counts[name]} {name}" for name in NODE_STATES if counts.get(name)]
    if message.get("why"):
        parts.append(f"({message['why']})")
    return "  ".join(parts)


@click.group()
def graph() -> None:
    """Task graphs: submit, watch, cancel, draw."""


@graph.command("schema")
def schema_command() -> None:
    """Print the JSON Schema of graph files."""
    click.echo(orjson.dumps(schema(), option=orjson.OPT_INDENT_2).decode())


@graph.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def check_command(file: Path) -> None:
    """Check a graph file without a service."""
    try:
        shape = check(load(file))
    except GraphFileError as error:
        _fail(error)
        return
    click.echo(
        f"{shape.nodes} nodes, {sum(shape.tasks)} tasks, {shape.edges} edges; "
        f"longest path {_longest_s(shape):.0f} s by its owner's estimates"
    )


def _longest_s(shape: Any) -> float:
    tails = shape.tails()
    return max((tails[i] + shape.estimate_s[i] for i in range(shape.nodes)), default=0.0)


@graph.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--id", "graph_id", help="Replaces the file's id, to submit the graph once more.")
@click.option("--watch/--no-watch", "follow", default=False, help="Watch the graph until it ends.")
@_address_option
@_retry_option
@_json_option
def submit(
    file: Path,
    graph_id: str | None,
    follow: bool,
    addresses: tuple[str, ...],
    retry_s: float,
    as_json: bool,
) -> None:
    """Submit the graph in FILE. Repeating it with the same id does not create another graph."""
    try:
        content = load(file)
        if graph_id is not None:
            content["id"] = graph_id
            check(content)
        nodes = content.pop("nodes")
        with _client(addresses, retry_s) as client:
            _print(client.submit_graph(content, nodes), as_json)
            if follow:
                _watch_until_end(client, content["id"], as_json)
    except (GraphFileError, ClientError) as error:
        _fail(error)


@graph.command()
@click.argument("graph_id", metavar="ID")
@click.option("--nodes", "with_nodes", is_flag=True, help="Also list its nodes.")
@click.option("--state", type=click.Choice(NODE_STATES), help="Only nodes in this state.")
@click.option("--most", default=100, show_default=True, help="Maximum number of nodes.")
@_address_option
@_retry_option
@_json_option
def show(
    graph_id: str,
    with_nodes: bool,
    state: str | None,
    most: int,
    addresses: tuple[str, ...],
    retry_s: float,
    as_json: bool,
) -> None:
    """Show a graph and optionally its nodes."""
    try:
        with _client(addresses, retry_s) as client:
            _print(client.show_graph(graph_id), as_json)
            if with_nodes or state is not None:
                for node in client.list_nodes(graph_id, state, most):
                    if as_json:
                        click.echo(orjson.dumps(node).decode())
                    else:
                        click.echo(f"{node['id']}  {node['state']:<9}  {node['key']}")
    except ClientError as error:
        _fail(error)


@graph.command()
@click.argument("graph_id", metavar="ID")
@_address_option
@_retry_option
@_json_option
def watch(graph_id: str, addresses: tuple[str, ...], retry_s: float, as_json: bool) -> None:
    """Watch a graph until it ends. Exit status 0 if it is done, 1 if it failed or was cancelled."""
    try:
        with _client(addresses, retry_s) as client:
            _watch_until_end(client, graph_id, as_json)
    except ClientError as error:
        _fail(error)


def _poll_status(client: Client, graph_id: str) -> Iterator[dict[str, Any]]:
    while True:
        current = client.show_graph(graph_id)
        yield current
        if current["status"] in _TERMINAL_STATUSES:
            return
        time.sleep(_POLL_S)


def _watch_until_end(client: Client, graph_id: str, as_json: bool) -> None:
    """Show a progress bar on a terminal, else a line for each change, until the graph ends."""
    console = Console()
    last: dict[str, Any] = {}
    if as_json or not console.is_terminal:
        for current in _poll_status(client, graph_id):
            if current != last:
                _print(current, as_json)
                sys.stdout.flush()
            last = current
    else:
        columns = (
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
            TextColumn("{task.fields[counts]}"),
        )
        with Progress(*columns, console=console) as bar:
            task = bar.add_task(graph_id, total=None, counts="")
            for last in _poll_status(client, graph_id):
                counts = last.get("counts") or {}
                ended = sum(counts.get(name, 0) for name in _TERMINAL_NODE_STATES)
                text = "  ".join(f"{counts[n]} {n}" for n in NODE_STATES if counts.get(n))
                bar.update(task, total=last.get("nodes"), completed=ended, counts=text)
        click.echo(_format_status(last))
    sys.exit(0 if last.get("status") == "done" else 1)


@graph.command()
@click.argument("graph_id", metavar="ID")
@_address_option
@_retry_option
@_json_option
def cancel(graph_id: str, addresses: tuple[str, ...], retry_s: float, as_json: bool) -> None:
    """Cancel a graph: stop its running tasks, start no further ones."""
    try:
        with _client(addresses, retry_s) as client:
            _print(client.cancel_graph(graph_id), as_json)
    except ClientError as error:
        _fail(error)


@graph.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--to", "target", type=click.Path(path_type=Path), help="A .dot or .svg file.")
@click.option("--progress", is_flag=True, help="Colour nodes by their state in the service.")
@click.option("--most", default=200, show_default=True, help="Group nodes above this number.")
@_address_option
@_retry_option
def draw(
    file: Path,
    target: Path | None,
    progress: bool,
    most: int,
    addresses: tuple[str, ...],
    retry_s: float,
) -> None:
    """Draw the graph in FILE as DOT (to standard output by default) or SVG."""
    from tealrill.cli import draw as renderer

    try:
        content = load(file)
        shape = check(content)
        states = None
        if progress:
            with _client(addresses, retry_s) as client:
                states = [node["state"] for node in client.list_nodes(content["id"])]
    except (GraphFileError, ClientError) as error:
        _fail(error)
        return
    drawing = renderer.make_drawing(shape, states, most)
    if target is None:
        click.echo(renderer.dot(drawing, content["id"]))
        return
    if target.suffix not in (".dot", ".svg"):
        _fail(f"{target}: neither .dot nor .svg")
    make = renderer.svg if target.suffix == ".svg" else renderer.dot
    try:
        target.write_text(make(drawing, content["id"]), encoding="utf-8")
    except OSError as error:
        _fail(f"{target}: {error.strerror}")
