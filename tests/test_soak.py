"""Run the real programs under seeded faults; planted faults must be found."""

import pytest
import trio

from harness.soak.__main__ import LULL_S, run_seed

SHORT_RUN_SEED, SHORT_RUN_S = 4, 4.0
PLANTED_SEEDS, PLANTED_RUN_S = range(1, 9), 4.0


def test_short_seed_breaks_no_promise(tmp_path):
    record = trio.run(run_seed, SHORT_RUN_SEED, SHORT_RUN_S, "", tmp_path)
    assert record.violations == []
    assert sum(request.status == 200 for request in record.requests.values()) > 100


@pytest.mark.parametrize(
    ("plant", "kinds", "lull_s", "found"),
    [
        ("early-ack", ("outage",), 0, "acknowledged release"),
        ("unproved-resend", ("backend",), 0, "run more than once"),
        ("forgotten-drain", ("drain", "drain", "network"), 0, "after its drain"),
        ("old-keys", ("network",), 0, "was withdrawn"),
        ("own-quota", ("collector",), 0, "allowed"),
        # Whether a release is in force is checked where nothing is harmed.
        ("late-release", ("backend",), LULL_S, ", acknowledged"),
        ("kept-routes", ("backend",), 0, ", shown before"),
        ("unchecked-release", ("backend",), 0, "took release"),
    ],
)
def test_planted_fault_is_found(plant, kinds, lull_s, found, tmp_path):
    def is_found(seed: int) -> bool:
        record = trio.run(run_seed, seed, PLANTED_RUN_S, plant, tmp_path, kinds, lull_s)
        return any(found in violation for violation in record.violations)

    assert any(map(is_found, PLANTED_SEEDS))
