"""The command line `python -m scale`: a click group that imports a command's module on use."""

from __future__ import annotations

import importlib
import pkgutil
import signal
import sys
from types import FrameType

import click

from scale import commands
from scale.errors import ScaleError
from scale.log import configure_logging

EXIT_USER_ERROR = 2  # exit code
EXIT_SIGNAL_BASE = 128  # exit code after a signal, to which the signal's number is added


def _exit_on_signal(signal_number: int, frame: FrameType | None) -> None:
    """Exit through an exception, so that clean-up code ends the child processes."""
    sys.exit(EXIT_SIGNAL_BASE + signal_number)


class LazyGroup(click.Group):
    """A group that imports modules of `scale.commands` on use: no command needs the libraries of another."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(module.name for module in pkgutil.iter_modules(commands.__path__))

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name, or None if there is none."""
        if cmd_name not in self.list_commands(ctx):
            return None
        command = importlib.import_module(f"scale.commands.{cmd_name}").command
        if not isinstance(command, click.Command):
            raise TypeError(f"scale.commands.{cmd_name}.command is not a click command")
        return command

    def invoke(self, ctx: click.Context) -> object:
        """Run the command; print a ScaleError in one line and exit with code 2."""
        try:
            return super().invoke(ctx)
        except ScaleError as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(EXIT_USER_ERROR)


@click.group(cls=LazyGroup)
@click.option("--verbose", is_flag=True, help="Log more.")
def main(verbose: bool) -> None:
    """Measure how the costs of an ingress grow with the size of its fleet."""
    configure_logging(verbose)
    signal.signal(signal.SIGTERM, _exit_on_signal)
