"""Tests of the simulator's adapter: batches, malformed input, exceptions in the gateway, and the program."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys

import pytest

from ingress.simulator.adapter import MalformedInputError, serve
from tests.support.paths import ROOT

SETTINGS = {
    "balancers": 2,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [{"name": "read", "aim-s": 1.0, "give-up-s": 4.0, "importance": 1.0, "semantics": "safe"}],
    "contracts": [{"name": "basic", "refill": 2.0, "burst": 8.0}],
    "limits": {"max-attempts": 3},
    "rules": {},
    "family-info": {},
    "new-key": 1,
}
ENDPOINT_ROWS = [
    {
        "backend": f"10.0.0.{n}:9000",
        "failure-domain": "a",
        "flavor": "x",
        "group": 0,
        "readiness": "ready",
        "rating": 1,
    }
    for n in range(3)
]


def encode_lines(*messages: object) -> str:
    return "".join(json.dumps(message) + "\n" for message in messages)


def encode_two_batches(settings: object = SETTINGS) -> str:
    """Return a batch that starts a gateway, and a batch with 30 requests for it."""
    start = [
        {"m": "BeginBatch", "ts-s": 1.0},
        {"m": "Start", "ingress": 3, "nonce64": 7, "env": settings},
        {"m": "SnapshotRows", "set-id": 0, "members-list": ENDPOINT_ROWS},
        {"m": "BackendsChanged", "ingress": 3, "kind": "restored", "epoch": 1, "set-id": 0},
        {"m": "Eob"},
    ]
    requests = [
        {"m": "BeginBatch", "ts-s": 1.5},
        *(
            {
                "m": "Ingress",
                "ingress": 3,
                "rid": f"r{n}",
                "service": "read",
                "tariff": "basic",
                "account": f"c{n}",
                "grace-s": 1.0,
                "cost-units": 1,
                "spread": 2,
                "set-from": 0,
                "odd": None,
            }
            for n in range(30)
        ),
        {"m": "Eob"},
    ]
    return encode_lines(*start, *requests)


def serve_text(text: str) -> list[dict[str, object]]:
    output = io.StringIO()
    serve(io.StringIO(text), output)
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_each_batch_gets_replies_and_unknown_keys_are_ignored() -> None:
    replies = serve_text(encode_two_batches())
    assert [reply["m"] for reply in replies].count("Finished") == 2
    assert {reply["rid"] for reply in replies if reply["m"] in ("CallOut", "Decline")} == {
        f"r{n}" for n in range(30)
    }
    assert all(reply["ingress"] == 3 for reply in replies if reply["m"] != "Finished")


@pytest.mark.parametrize(
    ("input_text", "malformed_part"),
    [
        ("{", "line 1"),
        ("[]", "object"),
        ('{"m":"Wake","ingress":1}', "outside a batch"),
        ('{"m":"BeginBatch"}', "ts-s"),
        ('{"m":"BeginBatch","ts-s":1}\n{"m":"Ingress","ingress":1,"rid":"x"}\n{"m":"Eob"}', "service"),
        ('{"m":"BeginBatch","ts-s":1}\n{"m":"Nonsense","ingress":1}\n{"m":"Eob"}', "Nonsense"),
        ('{"m":"BeginBatch","ts-s":1}\n', "inside a batch"),
    ],
)
def test_error_names_the_malformed_part(input_text: str, malformed_part: str) -> None:
    with pytest.raises(MalformedInputError, match=malformed_part):
        serve_text(input_text)


def test_error_for_invalid_settings_names_the_field() -> None:
    with pytest.raises(MalformedInputError, match="rate"):
        serve_text(
            encode_two_batches(SETTINGS | {"contracts": [{"name": "basic", "refill": -1.0, "burst": 1.0}]})
        )
    with pytest.raises(MalformedInputError, match="classes"):
        serve_text(encode_two_batches(SETTINGS | {"categories": []}))


def test_exception_in_the_decision_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr("ingress.decisions.Gateway.handle", raise_error)
    faults = [reply for reply in serve_text(encode_two_batches()) if reply["m"] == "BailOut"]
    assert faults
    assert "on purpose" in str(faults[0]["reason-text"])


@pytest.mark.parametrize("hash_seed", ["0", "1", "77"])
def test_actions_do_not_depend_on_the_hash_seed(hash_seed: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "ingress.simulator"],
        input=encode_two_batches(),
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        check=True,
    )
    assert [json.loads(line) for line in process.stdout.splitlines()] == serve_text(encode_two_batches())


def test_program_exits_with_an_error_message_on_malformed_input() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "ingress.simulator"],
        input="nonsense\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert process.returncode == 2
    assert "line 1" in process.stderr
    assert not process.stdout
