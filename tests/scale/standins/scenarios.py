"""A scenario with real ingresses only, for the tests of clients and traffic."""

from __future__ import annotations

from scale.scenario import Scenario


def small_scenario(requests_per_s: float = 0.0) -> Scenario:
    return Scenario.model_validate(
        {
            "name": "small",
            "duration_s": 1.0,
            "sizes": {
                "hollow": 0,
                "real": 4,
                "backends": 1,
                "tenants": 40,
                "requests_per_s": 0.0,
                "real_requests_per_s": requests_per_s,
            },
            "classes": [{"name": "read", "aim_s": 0.5, "deadline_s": 1.0}],
            "plans": [
                {"name": "basic", "rate": 1.0, "burst": 2.0, "spread": 2},
                {"name": "plus", "rate": 1.0, "burst": 2.0, "spread": 3},
            ],
        }
    )
