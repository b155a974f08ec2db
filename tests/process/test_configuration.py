"""The configuration file: its values, and the message that names the key if a value is invalid."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ingress.process.configuration import ConfigurationError, read_config
from tests.support.paths import ROOT
from tests.support.peers import WIRE_SETTINGS, make_config_text, make_endpoint_entry


def test_valid_configuration_is_read() -> None:
    config = read_config(make_config_text(make_endpoint_entry(("127.0.0.1", 6379)), listen="127.0.0.1:6380"))
    assert config.listen == ("127.0.0.1", 6380)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.client_sockets + config.backend_sockets < 1024
    assert [b.id for b in config.known.backends] == ["s1"]
    assert config.counter is None
    assert config.connect_timeout_s == 0.25


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"name": None}, "name"),
        ({"listen": "x"}, "listen"),
        ({"listen": "x:y"}, "listen"),
        ({"listen": "127.0.0.1:70000"}, "listen"),
        ({"listen": "a.example:80"}, "listen"),
        ({"discovery": "127.0.0.1:8\u0665"}, "discovery"),
        ({"discovery": "x" * 70 + ":80"}, "discovery"),
        ({"discovery": "\0:80"}, "discovery"),
        ({"discovery": 5}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"seed": None}, "seed"),
        ({"limits": None}, "limits"),
        ({"limits": {"sockets": "many"}}, "sockets"),
        ({"limits": {"sockets": 5}}, "sockets"),
        ({"known": {"version": 1}}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {k: v for k, v in WIRE_SETTINGS.items() if k != "contracts"}}, "contracts"),
        ({"settings": WIRE_SETTINGS | {"family-info": {"counter": True}}}, "counter"),
        ({"settings": WIRE_SETTINGS | {"limits": {"keepalive-s": 0}}}, "keepalive-s"),
    ],
)
def test_error_message_names_the_invalid_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_config(make_config_text(**changes))
    assert key in str(caught.value)
    assert "\n" not in str(caught.value)


def test_deeply_nested_file_is_rejected() -> None:
    with pytest.raises(ConfigurationError, match="EDGE_CONFIG"):
        read_config("[" * 100_000)


@pytest.mark.parametrize(
    ("text", "key"), [(None, "EDGE_CONFIG"), ("{", "EDGE_CONFIG"), (make_config_text(seed="xyz"), "seed")]
)
def test_program_exits_with_one_line_that_names_the_invalid_key(
    text: str | None, key: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "-m", "ingress"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"EDGE_CONFIG": str(path)},
    )
    assert completed.returncode != 0
    [line] = completed.stderr.splitlines()
    assert key in line
