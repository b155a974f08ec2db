"""The base class of errors that end a command with one line on stderr and exit code 2."""


class ScaleError(Exception):
    """An error that the user can correct; its message is one line."""
