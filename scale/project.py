"""Select the measured version: child processes import `ingress` from a given checkout."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from scale.errors import ScaleError

PACKAGE = "ingress"
FORMER_PACKAGE = "mulleinhall"  # the package's name up to version 0.1.0, with another layout of modules
TOOL_ROOT = Path(__file__).resolve().parent.parent


def check_project(project: Path) -> None:
    """Raise ScaleError if the checkout lacks the package; the tool's own copy would be measured instead."""
    if (project / FORMER_PACKAGE).is_dir():
        raise ScaleError(
            f"--project: the checkout has the package `{FORMER_PACKAGE}`, from before it became "
            f"`{PACKAGE}`; measure it with the scale tool of that checkout"
        )
    if not (project / PACKAGE / "__init__.py").is_file():
        raise ScaleError(f"--project: there is no package `{PACKAGE}` in it")


@contextmanager
def child_environment(project: Path) -> Iterator[dict[str, str]]:
    """Yield the environment of children that import `scale` from this checkout and `ingress` from `project`.

    The first entry of PYTHONPATH is a folder that holds only a link to the package of `project`, because
    `project` may contain another version of `scale`, which must not be imported.  Nothing is written to
    `project`.  Start the children with Python's option -P, which keeps the working directory out of the
    import path.
    """
    check_project(project)
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        (Path(folder) / PACKAGE).symlink_to((project / PACKAGE).resolve(), target_is_directory=True)
        path = os.pathsep.join((folder, str(TOOL_ROOT)))
        yield os.environ | {"PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
