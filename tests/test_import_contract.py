"""Tests of which part of the program may import which; docs/architecture.md gives the reasons.

A part is a package or module directly below `ingress`.  A new part needs an entry in `ALLOWED_IMPORTS`.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

import pytest

from tests.support.imports import DECISIONS_STDLIB_MODULES, build_import_graph, find_cycles

ROOT = Path(__file__).resolve().parent.parent
ARCHITECTURE = ROOT / "docs" / "architecture.md"
CONTRACT_ROW = re.compile(
    r"^\| `ingress/(?P<part>\w+)(?:/|\.py)` \| [^|]+ \| (?P<allowed>[^|]+) \| [^|]+ \|$", re.MULTILINE
)
IMPORT_GRAPH = build_import_graph(ROOT, "ingress", "scale")

# Map from each part to the other parts that it may import.
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "errors": set(),
    "interface": set(),
    "gossip_codec": set(),
    "event_queue": {"interface"},
    "settings_codec": {"interface"},
    "network": {"errors", "interface"},
    "decisions": {"interface", "gossip_codec"},
    "downstream": {"errors", "interface", "network"},
    "upstream": {"interface", "network", "settings_codec"},
    "discovery": {"errors", "interface", "network"},
    "counter": {"interface", "network"},
    "process": {
        "counter",
        "decisions",
        "discovery",
        "downstream",
        "errors",
        "event_queue",
        "interface",
        "network",
        "settings_codec",
        "upstream",
    },
    "simulator": {"decisions", "errors", "interface", "settings_codec"},
    "__main__": {"process"},
}


def get_part(module: str) -> str:
    """Return the part of the program to which a module of `ingress` belongs; empty for `ingress` itself."""
    return module.partition(".")[2].partition(".")[0]


def list_modules(part: str) -> list[str]:
    return [name for name in IMPORT_GRAPH if name.startswith("ingress.") and get_part(name) == part]


def find_imported_parts(part: str) -> set[str]:
    """Return the other parts that a part imports."""
    imported = {name for module in list_modules(part) for name in IMPORT_GRAPH[module]}
    return {get_part(name) for name in imported if name.split(".")[0] == "ingress"} - {part}


def test_contract_lists_each_part_of_the_program() -> None:
    parts = {get_part(name) for name in IMPORT_GRAPH if name.startswith("ingress.")}
    assert parts == set(ALLOWED_IMPORTS)


def test_architecture_page_has_the_same_contract() -> None:
    rows = CONTRACT_ROW.finditer(ARCHITECTURE.read_text(encoding="utf-8"))
    contract = {row["part"]: set(row["allowed"].split(", ")) - {"nothing"} for row in rows}
    assert contract == ALLOWED_IMPORTS


@pytest.mark.parametrize("part", sorted(ALLOWED_IMPORTS))
def test_part_imports_only_what_the_contract_allows(part: str) -> None:
    assert find_imported_parts(part) <= ALLOWED_IMPORTS[part]


def test_decision_module_imports_only_the_allowed_standard_modules() -> None:
    imported = {name for module in list_modules("decisions") for name in IMPORT_GRAPH[module]}
    assert {name for name in imported if name.split(".")[0] != "ingress"} <= DECISIONS_STDLIB_MODULES


def test_interface_imports_only_the_standard_library() -> None:
    imported = {name.split(".")[0] for module in list_modules("interface") for name in IMPORT_GRAPH[module]}
    assert imported - {"ingress"} <= sys.stdlib_module_names


def test_ingress_imports_neither_the_scale_tool_nor_the_tests() -> None:
    imported = {
        name.split(".")[0]
        for module in IMPORT_GRAPH
        if module.startswith("ingress")
        for name in IMPORT_GRAPH[module]
    }
    assert not imported & {"scale", "tests"}


def test_there_are_no_import_cycles() -> None:
    assert find_cycles(IMPORT_GRAPH) == []


def write_files(root: Path, files: dict[str, str]) -> None:
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")


def test_imports_are_found_anywhere_in_a_module(tmp_path: Path) -> None:
    write_files(
        tmp_path,
        {
            "p/__init__.py": "from . import a\n",
            "p/a.py": "import os.path\nfrom p import b\nfrom p.b import name\n",
            "p/b.py": "if TYPE_CHECKING:\n    from .c.d import X\n",
            "p/c/__init__.py": "",
            "p/c/d.py": "def f():\n    from ..a import y\n    from .. import b\n",
        },
    )
    assert build_import_graph(tmp_path, "p") == {
        "p": {"p.a"},
        "p.a": {"os.path", "p.b"},
        "p.b": {"p.c.d"},
        "p.c": set(),
        "p.c.d": {"p.a", "p.b"},
    }


def test_each_import_cycle_is_found_once_with_all_its_modules() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": {"e"}, "e": {"d"}, "f": {"a"}, "g": {"g"}}
    assert find_cycles(graph) == [["a", "b", "c"], ["d", "e"], ["g"]]
    assert find_cycles({"a": {"b", "c"}, "b": {"c"}, "c": {"outside"}}) == []
