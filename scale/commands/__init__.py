"""The commands of `python -m scale`: each module exports one click command, named `command`."""
