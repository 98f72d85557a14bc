"""Check how busy gates turn into a level for root requests."""

import pytest

from persimmonhall.admission.level import (
    INTERVAL_S,
    LEAST_SHARE,
    LOWEST_LEVEL,
    LevelController,
    share_let_in,
)

RANKS = 3
LIMIT = 40


def settle(controller, demand, seconds):
    """Run a gate whose calls follow the level at once; demand is by rank."""
    level = controller.level
    for _ in range(int(seconds / INTERVAL_S)):
        calls = sum(d * share_let_in(level, rank) for rank, d in enumerate(demand))
        running = min(LIMIT, int(calls))
        level = controller.step(running, int(calls) - running, LIMIT, INTERVAL_S)
    return level


def test_calm_gate_lets_all_in():
    """Refuse nothing below the target."""
    assert settle(LevelController(RANKS), (10, 5, 15), 5) == RANKS


def test_least_urgent_rank_gives_way_first():
    """Halve the least urgent rank when it alone is too much, within two seconds."""
    level = settle(LevelController(RANKS), (10, 5, 44), 2)
    assert 2.3 < level < 2.7


def test_urgent_ranks_stay_whole_while_a_lower_one_can_give():
    """Leave the upper ranks alone under twice the load that fits."""
    assert settle(LevelController(RANKS), (20, 5, 55), 3) > 2.0


def test_level_rises_again_after_a_surge():
    """Let everything in within four seconds of the end of a surge."""
    controller = LevelController(RANKS)
    settle(controller, (30, 20, 80), 3)
    assert settle(controller, (8, 4, 8), 4) == RANKS


def test_level_has_a_floor():
    """Keep some requests of the most urgent rank coming, whatever the load."""
    assert settle(LevelController(RANKS), (500, 500, 500), 20) == LOWEST_LEVEL


@pytest.mark.parametrize(
    ("level", "rank", "share"),
    [(3.0, 2, 1.0), (2.4, 2, 0.4), (2.4, 1, 1.0), (1.0, 2, LEAST_SHARE)],
)
def test_share_of_a_rank(level, rank, share):
    """Let in a part of one rank, all above it and the least share below."""
    assert share_let_in(level, rank) == pytest.approx(share)
