"""Find the imports of the Python files in a tree by parsing them; no module is executed."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from pathlib import Path

ImportGraph = Mapping[str, set[str]]

# Standard modules that the decision module may import: none that reads a clock, a file or the environment.
DECISIONS_STDLIB_MODULES = {
    "__future__",
    "array",
    "bisect",
    "collections",
    "collections.abc",
    "dataclasses",
    "heapq",
    "math",
    "random",
    "typing",
    "zlib",
}


def get_module_name(root: Path, path: Path) -> str:
    """Return the dotted name of the module in `path`, as imported from `root`."""
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def find_modules(root: Path, package: str) -> dict[str, Path]:
    """Return the files of all modules of a package below `root`, by module name."""
    return {get_module_name(root, path): path for path in sorted((root / package).rglob("*.py"))}


def build_import_graph(root: Path, *packages: str) -> dict[str, set[str]]:
    """Return what each module of the packages imports, including imports in functions and for type checks."""
    modules = {name: path for package in packages for name, path in find_modules(root, package).items()}
    return {name: set(_find_imports(name, path, modules)) for name, path in modules.items()}


def _find_imports(name: str, path: Path, modules: Mapping[str, Path]) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            source = _resolve_source(node, name, is_package=path.name == "__init__.py")
            for alias in node.names:
                # `from package import x` imports the module package.x if it exists, else a name of package.
                submodule = f"{source}.{alias.name}"
                yield submodule if submodule in modules else source


def _resolve_source(node: ast.ImportFrom, importer: str, is_package: bool) -> str:
    """Return the absolute name of the module in a `from` clause, which may be relative to the importer."""
    if not node.level:
        return node.module or ""
    levels_up = node.level - 1 if is_package else node.level
    base = importer.split(".")[: len(importer.split(".")) - levels_up]
    return ".".join([*base, node.module] if node.module else base)


def find_cycles(graph: ImportGraph) -> list[list[str]]:
    """Return the groups of modules that import each other, directly or indirectly; sorted, each group too."""
    reachable = {name: _find_reachable(graph, name) for name in graph}
    groups = {
        tuple(sorted(other for other in reachable[name] if name in reachable.get(other, ())))
        for name in graph
        if name in reachable[name]
    }
    return [list(group) for group in sorted(groups)]


def _find_reachable(graph: ImportGraph, start: str) -> set[str]:
    """Return all modules that `start` imports, directly or indirectly.

    `start` itself is included if it is in a cycle.
    """
    reachable: set[str] = set()
    pending = [start]
    while pending:
        newly_reached = graph.get(pending.pop(), set()) - reachable
        reachable |= newly_reached
        pending.extend(newly_reached)
    return reachable
