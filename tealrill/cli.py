"""The command line."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from tealrill import __version__, features
from tealrill.controller import configure_logging
from tealrill.controller import serve as serve_node
from tealrill.http import Client, NoAnswer
from tealrill.settings import BadSettings, load, parse_address


def _fail(message: str) -> None:
    click.echo(f"tealrill: {message}", err=True)
    sys.exit(2)


@click.group()
@click.version_option(__version__, prog_name="tealrill")
def main() -> None:
    """A cluster scheduler: the daemon and its operators' verbs."""


@main.command()
@click.option(
    "--config",
    "config",
    required=True,
    type=click.Path(path_type=Path),
    help="The platform's settings file (JSON).",
)
@click.option(
    "--features",
    "features_path",
    type=click.Path(path_type=Path),
    help="What is switched on beyond the core (TOML); without it, nothing.",
)
def serve(config: Path, features_path: Path | None) -> None:
    """Run a controller node until it is killed."""
    try:
        settings = load(config)
        switched = features.load(features_path) if features_path is not None else None
    except BadSettings as error:
        _fail(f"settings: {error}")
        return
    except features.BadFeatures as error:
        _fail(f"features: {error}")
        return
    configure_logging()
    serve_node(settings, switched or features.Features())


@main.command()
@click.option("--address", required=True, help="A node's cluster address, host:port.")
def status(address: str) -> None:
    """Show what a node knows of the service."""
    try:
        client = Client(parse_address(address))
        answer = asyncio.run(client.request("GET", "/admin/state", timeout_s=5.0))
    except (BadSettings, NoAnswer) as error:
        _fail(str(error))
        return
    click.echo(answer.body.decode())
