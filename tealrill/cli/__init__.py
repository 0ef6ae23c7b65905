"""The command line.

Each group of commands is a module that is imported only when the group is invoked, because the
daemon is started from here too and must not load the libraries of the tools.
"""

from __future__ import annotations

import asyncio
import importlib
import sys
from pathlib import Path
from typing import Final

import click

from tealrill import __version__, features
from tealrill.http import Client, NoAnswerError
from tealrill.process import configure_logging
from tealrill.process import serve as serve_node
from tealrill.settings import SettingsError, load, parse_address


def _fail(message: str) -> None:
    click.echo(f"tealrill: {message}", err=True)
    sys.exit(2)


_GROUPS: Final = {"graph": "Task graphs: submit, watch, cancel, draw."}
"""Modules of this package and the help of the command group of the same name in each."""


class _LazyGroup(click.Group):
    """A group whose nested groups are imported on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted({*super().list_commands(ctx), *_GROUPS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in _GROUPS:
            return super().get_command(ctx, cmd_name)
        try:
            module = importlib.import_module(f"tealrill.cli.{cmd_name}")
        except ModuleNotFoundError as error:
            if error.name is None or error.name.startswith("tealrill"):
                raise
            _fail(f"{cmd_name} needs {error.name}: python3 -m pip install 'tealrill[tools]'")
            return None
        command = getattr(module, cmd_name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        rows = []
        for name in self.list_commands(ctx):
            command = super().get_command(ctx, name)
            rows.append((name, _GROUPS[name] if command is None else command.get_short_help_str()))
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name="tealrill")
def main() -> None:
    """A cluster scheduler: the daemon and commands for operators."""


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
    help="Features that are enabled beyond the core (TOML); none without it.",
)
def serve(config: Path, features_path: Path | None) -> None:
    """Run a controller until it is stopped."""
    try:
        settings = load(config)
        enabled_features = features.load(features_path) if features_path is not None else None
    except SettingsError as error:
        _fail(f"settings: {error}")
        return
    except features.FeaturesError as error:
        _fail(f"features: {error}")
        return
    configure_logging()
    serve_node(settings, enabled_features or features.Features())


@main.command()
@click.option("--address", required=True, help="A node's cluster address, host:port.")
def status(address: str) -> None:
    """Show the state of a controller as JSON."""
    try:
        client = Client(parse_address(address))
        answer = asyncio.run(client.request("GET", "/admin/state", timeout_s=5.0))
    except (SettingsError, NoAnswerError) as error:
        _fail(str(error))
        return
    click.echo(answer.body.decode())
