"""The command line `python -m scale`: a click group that imports each command when it is called for."""

from __future__ import annotations

import importlib
import pkgutil
import signal
import sys
from types import FrameType

import click

from scale import commands
from scale.errors import ScaleError
from scale.log import configure

USER_ERROR = 2  # exit code
SIGNALLED = 128  # exit code, plus the signal's number


def _end(number: int, frame: FrameType | None) -> None:
    """SIGTERM ends the program as an error does, so that what it has started ends with it."""
    sys.exit(SIGNALLED + number)


class LazyGroup(click.Group):
    """A group whose commands live in `scale.commands`, so that one command needs no library of another."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands."""
        return sorted(module.name for module in pkgutil.iter_modules(commands.__path__))

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name, or None."""
        if cmd_name not in self.list_commands(ctx):
            return None
        command = importlib.import_module(f"scale.commands.{cmd_name}").command
        if not isinstance(command, click.Command):
            raise TypeError(f"scale.commands.{cmd_name}.command is not a click command")
        return command

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command; an error of the user's ends it with one line and exit code 2."""
        try:
            return super().invoke(ctx)
        except ScaleError as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(USER_ERROR)


@click.group(cls=LazyGroup)
@click.option("--verbose", is_flag=True, help="Log more.")
def main(verbose: bool) -> None:
    """Measures how the costs of an ingress grow with the size of its fleet."""
    configure(verbose)
    signal.signal(signal.SIGTERM, _end)
