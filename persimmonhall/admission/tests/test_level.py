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
DELAY_STEPS = 5


def settle(controller, demand, seconds):
    """Run a gate whose work follows the level half a second later; return levels.

    Demand is the load that each rank would bring if all of it were let in.
    """
    levels = [controller.level] * DELAY_STEPS
    for _ in range(int(seconds / INTERVAL_S)):
        let_in = levels[-DELAY_STEPS]
        load = sum(d * share_let_in(let_in, rank) for rank, d in enumerate(demand))
        controller.arrive(load * LIMIT * INTERVAL_S)
        levels.append(controller.step(0, LIMIT, INTERVAL_S))
    return levels


def test_calm_gate_lets_all_in():
    """Refuse nothing below the target."""
    assert min(settle(LevelController(RANKS), (0.3, 0.1, 0.5), 5)) == RANKS


def test_least_urgent_rank_gives_way_first():
    """Halve the least urgent rank when it alone is too much, within two seconds."""
    levels = settle(LevelController(RANKS), (0.3, 0.1, 1.0), 2)
    assert 2.3 < levels[-1] < 2.7


def test_urgent_ranks_stay_whole_while_a_lower_one_can_give():
    """Never touch the upper ranks under twice the load that fits: no overshoot."""
    levels = settle(LevelController(RANKS), (0.6, 0.1, 1.2), 6)
    assert min(levels) > 2.0
    assert 2.1 < levels[-1] < 2.3


def test_level_rises_again_after_a_surge():
    """Let everything in within three seconds of the end of a surge."""
    controller = LevelController(RANKS)
    settle(controller, (0.6, 0.1, 1.2), 3)
    assert settle(controller, (0.25, 0.05, 0.5), 3)[-1] == RANKS


def test_level_has_a_floor():
    """Keep some requests of the most urgent rank coming, whatever the load."""
    assert settle(LevelController(RANKS), (9, 9, 9), 20)[-1] == LOWEST_LEVEL


@pytest.mark.parametrize(
    ("level", "rank", "share"),
    [(3.0, 2, 1.0), (2.4, 2, 0.4), (2.4, 1, 1.0), (1.0, 2, LEAST_SHARE)],
)
def test_share_of_a_rank(level, rank, share):
    """Let in a part of one rank, all above it and the least share below."""
    assert share_let_in(level, rank) == pytest.approx(share)
