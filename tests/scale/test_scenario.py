"""Tests of scenarios: shipped ones load, errors name the field, and the machine must have the resources."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from scale import budget
from scale.budget import GIB, InsufficientResourcesError, Machine, ResourceNeeds
from scale.commands.run import command
from scale.scenario import BackendModel, Scenario, ScenarioError, load_scenario

SCENARIOS = Path(budget.__file__).parent / "scenarios"
LARGE_MACHINE = Machine(memory=64 * GIB, files=100_000)


def make_toml(**changes: str) -> str:
    """Return the text of a small scenario in which some keys are replaced."""
    lines = {
        "name": '"small"',
        "duration_s": "1.0",
        "sizes": "{hollow=2, backends=3, tenants=4, requests_per_s=1.0}",
        "classes": '[{name="search", aim_s=0.5, deadline_s=1.0}]',
        "plans": '[{name="basic", rate=1.0, burst=2.0}]',
    }
    return "\n".join(f"{key} = {value}" for key, value in (lines | changes).items())


def make_scenario(**changes: str) -> Scenario:
    return Scenario.model_validate(tomllib.loads(make_toml(**changes)))


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_scenario_can_be_loaded(path: Path) -> None:
    assert load_scenario(path).name == path.stem


def test_backend_keys_are_those_that_scenario_files_use() -> None:
    keys = (
        "capacity cold_s cold_share drain_s fall_factor fall_s keepalive_s latency_ms latency_sigma queue_s"
    )
    assert sorted(BackendModel.model_fields) == keys.split()


INVALID_FIELDS = [
    ({"colour": "3"}, "colour"),
    ({"duration_s": "-1.0"}, "duration_s"),
    ({"duration_s": "inf"}, "duration_s"),
    ({"name": '"Upper Case"'}, "name"),
    ({"sizes": "{hollow=2, backends=3, tenants=4, requests_per_s=1.0, colour=3}"}, "sizes.colour"),
    ({"sizes": "{hollow=2, backends=0, tenants=4, requests_per_s=1.0}"}, "sizes.backends"),
    ({"sizes": "{hollow=0, backends=1, tenants=4, requests_per_s=1.0}"}, "sizes"),
    ({"sizes": "{hollow=9, backends=1, tenants=4, requests_per_s=1.0}"}, "sizes.tenants"),
    ({"classes": "[]"}, "classes"),
    ({"plans": '[{name="basic", rate=1.0, burst=2.0, spread=3}]'}, "plans"),
    ({"events": '[{kind="storm", at_s=0.1}]'}, "events.0"),
    ({"events": '[{kind="zone_lost", at_s=0.1, zone=7, seconds=1.0}]'}, "events"),
    ({"events": '[{kind="churn", at_s=2.0, share=0.1, over_s=1.0}]'}, "events"),
    ({"duration_s": "1.0 2.0"}, "not TOML"),
]


@pytest.mark.parametrize(("changes", "faulty_part"), INVALID_FIELDS)
def test_invalid_field_is_named_in_one_line(
    changes: dict[str, str], faulty_part: str, tmp_path: Path
) -> None:
    path = tmp_path / "wrong.toml"
    path.write_text(make_toml(**changes), encoding="utf-8")
    with pytest.raises(ScenarioError) as caught:
        load_scenario(path)
    text = str(caught.value)
    assert text.startswith("wrong.toml: ")
    assert faulty_part in text
    assert "\n" not in text


def test_missing_scenario_file_raises_a_scenario_error(tmp_path: Path) -> None:
    result = CliRunner().invoke(command, [str(tmp_path / "none.toml")])
    assert isinstance(result.exception, ScenarioError)


def test_small_scenario_fits_into_a_large_machine() -> None:
    budget.check_resources(budget.estimate_needs(make_scenario(), hollow_bytes=2**20), LARGE_MACHINE)


EXCESSIVE_NEEDS: list[tuple[dict[str, Any], str]] = [
    ({"memory": 13 * GIB, "processes": 1, "files": 1}, "memory"),
    ({"memory": 1, "processes": 201, "files": 1}, "processes"),
    ({"memory": 1, "processes": 1, "files": 100_001}, "descriptors"),
]


@pytest.mark.parametrize(("need", "resource"), EXCESSIVE_NEEDS)
def test_exceeded_resource_is_named_in_the_error(need: dict[str, Any], resource: str) -> None:
    with pytest.raises(InsufficientResourcesError, match=resource):
        budget.check_resources(ResourceNeeds(**need), LARGE_MACHINE)


def test_needs_beyond_the_available_memory_are_rejected() -> None:
    with pytest.raises(InsufficientResourcesError, match="available"):
        budget.check_resources(
            ResourceNeeds(memory=GIB, processes=1, files=1), Machine(memory=GIB, files=100)
        )


def test_estimate_grows_with_the_number_of_ingresses_and_their_memory() -> None:
    small, large = (
        make_scenario(),
        make_scenario(sizes="{hollow=200, backends=3, tenants=400, requests_per_s=1.0}"),
    )
    assert (
        budget.estimate_needs(large, 2**20).memory > budget.estimate_needs(small, 2**20).memory + 150 * 2**20
    )
    assert budget.estimate_needs(small, 2**24).memory > budget.estimate_needs(small, 2**20).memory
    assert budget.estimate_needs(large, 2**20).files > budget.estimate_needs(small, 2**20).files
