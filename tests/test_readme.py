"""Test that the example in README.md runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).resolve().parent.parent / "README.md"


def test_readme_example_runs() -> None:
    code_blocks = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert len(code_blocks) == 1
    namespace: dict[str, object] = {}
    exec(compile(code_blocks[0], str(README), "exec"), namespace)
    assert namespace["actions"]
