"""Plan when refused callers return, and recognise those who do.

The load is a surge of more callers than there is room for, each of whom returns after
a refusal. Without a plan they compete with new callers at each attempt, and who
returns at once and often is served before those who wait as they were told.
"""

import math
import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import Generic, NamedTuple, NewType, TypeVar

K = TypeVar("K")

# Identifies what a caller asks for, without the attempt.
RequestDigest = NewType("RequestDigest", int)

# Callers wait at most this fraction of the time that they have left.
CALLER_PATIENCE = 1 / 3
# Part of that wait that is used, since the refusal takes a while to arrive.
USED_PATIENCE = 0.95
# Part of the room of a route that is promised to callers who return; new callers get
# the rest.
PROMISED_FRACTION = 0.5
# A return is early before this part of the wait that it was told.
EARLY_FRACTION = 0.9
# A place is held this long past its time: a caller needs a new connection.
LATE_S = 0.5
# Attempts with the same digest are of one caller if their deadlines are this close, up
# to twice as close at the bounds of a step.
DEADLINE_STEP_S = 0.01
ASKED_RATE_TIME_S = 2.0
# Until then a first attempt would make any rate look high.
MIN_AGE_S = 0.25
MAX_REFUSED = 4096


class Standing(Enum):
    """Describe whether an attempt was refused before, and when it was to return."""

    NEW = "new"
    EARLY = "early"
    PROMISED = "promised"
    UNPROMISED = "unpromised"


class Caller(NamedTuple):
    """Identify a caller between its attempts, as these have ids of their own."""

    digest: RequestDigest
    # When the caller stops waiting, the same for all of its attempts.
    deadline: float
    # Stated by the attempt, so a later one states less.
    timeout_s: float


class Wait(NamedTuple):
    """Bound the seconds after which a refused caller is to return."""

    min_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class Place:
    """Hold the time for which a refused caller was told to return."""

    at: float
    early_until: float
    is_promised: bool
    timeout_s: float
    # Of the first early return, 0 before it.
    early_timeout_s: float = 0.0
    # Several callers ask for the same thing with the same deadline.
    is_shared: bool = False


class _Room:
    """Track what is asked of a route and the places taken of the room that opens."""

    __slots__ = ("_asked", "_counted_at", "_first_at", "_taken", "_planned_at", "debt")

    def __init__(self, now: float):
        self._asked = 0.0
        self._first_at = self._counted_at = self._planned_at = now
        # Places ahead that are promised, beyond the shortest wait.
        self._taken = 0.0
        # Requests admitted beyond the fraction of the level, made up for by new ones.
        self.debt = 0.0

    def count(self, now: float) -> None:
        """Count an attempt."""
        self._asked = self._asked_at(now) + 1.0
        self._counted_at = now

    def rate(self, now: float) -> float:
        """Return the attempts per second."""
        age_s = max(MIN_AGE_S, now - self._first_at)
        time_s = ASKED_RATE_TIME_S * -math.expm1(-age_s / ASKED_RATE_TIME_S)
        return self._asked_at(now) / time_s

    def take_place(self, rate: float, max_wait_s: float, now: float) -> float | None:
        """Take the next place at a rate of places; return the wait, None if too long.

        Places that were promised while the rate was another are spread anew.
        """
        self._taken = max(0.0, self._taken - rate * (now - self._planned_at))
        self._planned_at = now
        if rate <= 0 or self._taken / rate > max_wait_s:
            return None
        wait_s = self._taken / rate
        self._taken += 1.0
        return wait_s

    def _asked_at(self, now: float) -> float:
        return self._asked * math.exp((self._counted_at - now) / ASKED_RATE_TIME_S)


class ReturnPlan(Generic[K]):
    """Give refused callers a time to return, and admit those who keep to it."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._rooms: dict[K, _Room] = {}
        # In the order of the refusals; callers that never return are dropped in turn.
        self._places: dict[tuple[RequestDigest, int], Place] = {}

    def __len__(self) -> int:
        """Return the number of refused callers that are remembered."""
        return len(self._places)

    def count_asked(self, key: K, now: float) -> None:
        """Count an attempt on a route that is or may soon be rationed."""
        room = self._rooms.get(key)
        if room is None:
            room = self._rooms[key] = _Room(now)
        room.count(now)

    def keep(self, keys: set[K]) -> None:
        """Forget the routes that are not in the active release."""
        self._rooms = {key: room for key, room in self._rooms.items() if key in keys}

    def find_early(self, caller: Caller, now: float) -> Place | None:
        """Return the place of a caller that returns too early once more, else None.

        The first early return is the one that a caller has; it loses its place.
        """
        found = self._find(caller) if self._places else None
        if found is None or now >= self._places[found].early_until:
            return None
        place = self._places[found]
        if not place.early_timeout_s:
            timeout_s = caller.timeout_s
            place = replace(place, is_promised=False, early_timeout_s=timeout_s)
            self._places[found] = place
        return place if caller.timeout_s < place.early_timeout_s else None

    def standing(self, caller: Caller, now: float) -> tuple[Standing, Place | None]:
        """Return whether a caller was refused before; forget it once it is due."""
        found = self._find(caller) if self._places else None
        if found is None:
            return Standing.NEW, None
        early = self.find_early(caller, now)
        if early is not None:
            return Standing.EARLY, early
        place = self._places[found]
        if now < place.early_until:
            return Standing.UNPROMISED, place
        del self._places[found]
        if not place.is_promised or now > place.at + LATE_S:
            return Standing.UNPROMISED, place
        return Standing.PROMISED, place

    def draw(self, key: K, fraction: float) -> bool:
        """Return whether a caller without a promise is among the admitted fraction."""
        if self._rng.random() >= fraction:
            return False
        room = self._rooms.get(key)
        if room is None or room.debt < 1.0:
            return True
        room.debt -= 1.0
        return False

    def keep_promise(self, key: K, fraction: float) -> None:
        """Admit a caller that was promised a place; new callers make up for it."""
        room = self._rooms.get(key)
        if room is not None:
            room.debt += 1.0 - fraction

    def plan(
        self,
        key: K,
        caller: Caller,
        wait: Wait,
        now: float,
        *,
        fraction: float,
        weight: float = 1.0,
    ) -> Place:
        """Return when a refused caller is to return.

        `fraction` is the part of the attempts that is admitted now, `weight` the chance
        of the caller to get a place, which is below 1 for an organisation that asks for
        more than its share.
        """
        pending = self._pending_early(caller, now)
        if pending is not None:
            return pending
        max_s = min(wait.max_s, _patience_s(caller, now))
        min_s = min(wait.min_s, max_s)
        wait_s = None
        if weight >= 1.0 or self._rng.random() < weight:
            wait_s = self._take_place(key, fraction, max_s - min_s, now)
        is_promised = wait_s is not None
        if wait_s is None:
            wait_s = self._rng.uniform(0.0, max_s - min_s)
        wait_s += min_s
        return self._put_place(caller, wait_s, now, is_promised=is_promised)

    def remember(self, caller: Caller, wait_s: float, now: float) -> None:
        """Remember a caller that was told to wait, without a promise."""
        if self._pending_early(caller, now) is None:
            self._put_place(caller, wait_s, now, is_promised=False)

    def _pending_early(self, caller: Caller, now: float) -> Place | None:
        """Return the place of a caller that came too early and still is to wait."""
        found = self._find(caller) if self._places else None
        place = self._places[found] if found is not None else None
        is_pending = (
            place is not None and place.early_timeout_s > 0 and now < place.early_until
        )
        return place if is_pending else None

    def _take_place(
        self, key: K, fraction: float, max_wait_s: float, now: float
    ) -> float | None:
        room = self._rooms.get(key)
        if room is None:
            return None
        rate = PROMISED_FRACTION * fraction * room.rate(now)
        return room.take_place(rate, max_wait_s, now)

    def _put_place(
        self, caller: Caller, wait_s: float, now: float, *, is_promised: bool
    ) -> Place:
        found = self._find(caller)
        if found is not None:
            del self._places[found]
        kept_wait_s = min(wait_s, _patience_s(caller, now))
        place = Place(
            now + wait_s,
            now + EARLY_FRACTION * kept_wait_s,
            is_promised,
            caller.timeout_s,
            is_shared=self._is_known(caller),
        )
        self._places[caller.digest, _step_of(caller.deadline)] = place
        while len(self._places) > MAX_REFUSED:
            del self._places[next(iter(self._places))]
        return place

    def _is_known(self, caller: Caller) -> bool:
        return any(key in self._places for key in _keys_of(caller))

    def _find(self, caller: Caller) -> tuple[RequestDigest, int] | None:
        """Return the key of the refusal of another attempt of a caller."""
        for key in _keys_of(caller):
            place = self._places.get(key)
            if place is not None:
                is_other = place.is_shared or caller.timeout_s >= place.timeout_s
                return None if is_other else key
        return None


def _keys_of(caller: Caller) -> tuple[tuple[RequestDigest, int], ...]:
    step = _step_of(caller.deadline)
    return tuple((caller.digest, number) for number in (step, step - 1, step + 1))


def _step_of(deadline: float) -> int:
    return int(deadline / DEADLINE_STEP_S)


def _patience_s(caller: Caller, now: float) -> float:
    return max(0.0, USED_PATIENCE * CALLER_PATIENCE * (caller.deadline - now))
