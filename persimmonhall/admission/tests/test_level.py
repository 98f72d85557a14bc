"""Check how the level for root requests follows the load of a gate."""

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

    Demand is the load of each rank if all of its requests are admitted.
    """
    levels = [controller.level] * DELAY_STEPS
    for _ in range(int(seconds / INTERVAL_S)):
        let_in = levels[-DELAY_STEPS]
        load = sum(d * share_let_in(let_in, rank) for rank, d in enumerate(demand))
        controller.arrive(load * LIMIT * INTERVAL_S)
        levels.append(controller.step(0, LIMIT, INTERVAL_S))
    return levels


def test_calm_gate_lets_all_in():
    """Refuse nothing below the target load."""
    assert min(settle(LevelController(RANKS), (0.3, 0.1, 0.5), 5)) == RANKS


def test_least_urgent_rank_gives_way_first():
    """Halve the least urgent rank within two seconds if it alone exceeds the target."""
    levels = settle(LevelController(RANKS), (0.3, 0.1, 1.0), 2)
    assert 2.3 < levels[-1] < 2.7


def test_urgent_ranks_stay_whole_while_a_lower_one_can_give():
    """Refuse no upper rank at twice the load that fits: the level doesn't overshoot."""
    levels = settle(LevelController(RANKS), (0.6, 0.1, 1.2), 6)
    assert min(levels) > 2.0
    assert 2.1 < levels[-1] < 2.3


def test_level_rises_again_after_a_surge():
    """Admit all requests within three seconds of the end of a surge."""
    controller = LevelController(RANKS)
    settle(controller, (0.6, 0.1, 1.2), 3)
    assert settle(controller, (0.25, 0.05, 0.5), 3)[-1] == RANKS


def test_level_has_a_floor():
    """Admit some requests of the most urgent rank at any load."""
    assert settle(LevelController(RANKS), (9, 9, 9), 20)[-1] == LOWEST_LEVEL


@pytest.mark.parametrize(
    ("level", "rank", "share"),
    [(3.0, 2, 1.0), (2.4, 2, 0.4), (2.4, 1, 1.0), (1.0, 2, LEAST_SHARE)],
)
def test_share_of_a_rank(level, rank, share):
    """Admit a part of one rank, all above it and the minimum fraction below."""
    assert share_let_in(level, rank) == pytest.approx(share)
