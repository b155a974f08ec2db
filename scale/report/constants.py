"""Read the constants that limit the design from the ingress source, so that the page shows current values."""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

from scale.report.figures import MISSING, Figure, computed_figure

PACKAGE_FOLDER = "ingress"


@dataclass(frozen=True, slots=True)
class Constant:
    """A numeric constant that a module assigns at its top level."""

    name: str
    value: float
    file: str

    def __str__(self) -> str:
        return f"`{self.name} = {self.value:,.10g}` in `{self.file}`"


def _evaluate_number(node: ast.expr) -> float | None:
    """Return the value of a numeric literal or of a product of them; None for any other expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
        return float(node.value)
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Mult):
        left, right = _evaluate_number(node.left), _evaluate_number(node.right)
        return None if left is None or right is None else left * right
    return None


def read_constants(root: Path) -> dict[str, Constant]:
    """Return all constants of the `ingress` package below `root`, by name.

    If several files define the same name, the constant of the first file in path order is taken.
    """
    constants: dict[str, Constant] = {}
    for path in sorted((root / PACKAGE_FOLDER).rglob("*.py")):
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if not isinstance(node, ast.Assign) or len(node.targets) != 1:
                continue
            target, value = node.targets[0], _evaluate_number(node.value)
            if isinstance(target, ast.Name) and value is not None:
                constant = Constant(target.id, value, path.relative_to(root).as_posix())
                constants.setdefault(target.id, constant)
    return constants


class Constants:
    """The numeric constants of a checkout.  A constant that the code does not define counts as missing."""

    def __init__(self, root: Path) -> None:
        self._constants = read_constants(root)

    def get_figure(self, name: str) -> Figure:
        """Return the constant's value as a figure, or MISSING if the code does not define the constant."""
        constant = self._constants.get(name)
        return MISSING if constant is None else computed_figure(constant.value)

    def describe(self, name: str) -> str:
        """Return the constant's name, value and file as text for the page."""
        constant = self._constants.get(name)
        return f"`{name}` (not in this code)" if constant is None else str(constant)
