"""Find the names that the Python files of a tree define by parsing them; no module is executed."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from pathlib import Path

from tests.support.imports import find_modules

Definition = ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef


class Definitions:
    """Index of the modules of a package, the names that they define, and the members of their classes."""

    def __init__(self, root: Path, package: str) -> None:
        self.package = package
        self.modules = {
            name: ast.parse(path.read_text(encoding="utf-8"))
            for name, path in find_modules(root, package).items()
        }
        self.part_names = {name.split(".")[1] for name in self.modules if "." in name}

    def has_dotted_name(self, dotted_name: str) -> bool:
        """Return whether `dotted_name`, with or without the package, is a module or a name defined in one."""
        parts = dotted_name.split(".")
        if parts[0] != self.package:
            parts = [self.package, *parts]
        for length in range(len(parts), 0, -1):
            module = self.modules.get(".".join(parts[:length]))
            if module is not None:
                return _defines(module, parts[length:])
        return False

    def has_name_in_any_module(self, dotted_name: str) -> bool:
        """Return whether any module defines `dotted_name`, such as a class or a member of a class."""
        return any(_defines(module, dotted_name.split(".")) for module in self.modules.values())


def _defines(scope: ast.Module | Definition, names: list[str]) -> bool:
    """Return whether a scope defines a nested name: `names` are its parts, such as a class and a member."""
    if not names:
        return True
    if len(names) == 1 and names[0] in _find_variable_names(scope):
        return True
    matching_definitions = [
        node for node in scope.body if isinstance(node, Definition) and node.name == names[0]
    ]
    return any(_defines(node, names[1:]) for node in matching_definitions)


def _find_variable_names(scope: ast.Module | Definition) -> set[str]:
    """Return the variables, fields and imported names of a scope; of a class also attributes of `self`."""
    names = {name for node in scope.body for name in _find_bound_names(node)}
    if isinstance(scope, ast.ClassDef):
        names |= {
            node.attr
            for node in ast.walk(scope)
            if isinstance(node, ast.Attribute)
            and isinstance(node.ctx, ast.Store)
            and isinstance(node.value, ast.Name)
            and node.value.id == "self"
        }
    return names


def _find_bound_names(node: ast.stmt) -> Iterable[str]:
    if isinstance(node, ast.ImportFrom):
        return [alias.asname or alias.name for alias in node.names]
    if isinstance(node, ast.Assign):
        return [name.id for target in node.targets for name in ast.walk(target) if isinstance(name, ast.Name)]
    if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        return [node.target.id]
    return []
