"""Bound how long a root request waits for room, at all gates together.

Load: a service is full, and a root that one gate has refused after its wait is sent to
another one, where it waits again. A refusal within an eighth of the latency objective
costs the caller nothing, and its resend can be in time; a later one is dear.
"""

MAX_ROOT_WAIT_FRACTION = 0.125
# Without this much of the wait left a gate could only refuse.
MIN_WAIT_LEFT_S = 0.005


def max_room_wait_s(objective_ms: int) -> float:
    """Return how many seconds a root with a latency objective may wait for room."""
    return MAX_ROOT_WAIT_FRACTION * objective_ms / 1000


def may_wait_again(objective_ms: int, waited_s: float) -> bool:
    """Return whether a root that has waited for room may wait at another gate."""
    return max_room_wait_s(objective_ms) - waited_s >= MIN_WAIT_LEFT_S


def objective_left_ms(objective_ms: int, waited_s: float) -> int:
    """Return the objective in milliseconds that allows what is left of the wait."""
    left_ms = objective_ms - 1000 * waited_s / MAX_ROOT_WAIT_FRACTION
    return max(1, int(left_ms))
