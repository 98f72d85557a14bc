"""Give the organisations of a soak their keys and quotas, and check what they run.

Each release is made from the one that it replaces, and a key that was dropped never
comes back: so what one accepted release lacks, no later one has.
"""

import itertools
import math
import random
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from harness.soak.record import Credential, Record, SentRequest, describe

KEY_PREFIX = "soak-key-"
# The settings of the nodes.
WITHDRAWAL_S = 2.0
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
# Requests that had left the entry when its proof ran out.
WITHDRAWAL_ALLOWANCE_S = 0.3
# A node may take a key for unknown until its release is this old.
ADDED_KEY_S = 2.5
# A lowered quota binds at the nodes, and at the collectors that sum for them.
IN_FORCE_S = WITHDRAWAL_S + 1.0
# An organisation that was beyond its quota pays back for this long.
PAY_BACK_S = 10.0

USUAL, GREEDY, MODEST, PROBE = "harbour", "festival", "museum", "probe"
GREEDY_RATES_PER_S = (8.0, 15.0, 25.0)
NEW_KEY_CHANCE, NEW_QUOTA_CHANCE = 0.3, 0.08
PROBE_KEY = f"{KEY_PREFIX}probe"
UNKNOWN_KEYS = (f"{KEY_PREFIX}unknown", f"{KEY_PREFIX}", "Basic", "")


@dataclass(frozen=True)
class Organisation:
    """Represent one organisation of a release."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def window_size(self) -> float:
        """Return the most requests that may run in a window."""
        if not self.rate_per_s:
            return math.inf
        quota = self.rate_per_s * WINDOW_S + self.burst
        return quota * (1 + OVERSHOOT) + SLACK


@dataclass(frozen=True)
class QuotaPeriod:
    """Tell from when until when a quota may have been in force."""

    organisation: Organisation
    begin: float
    end: float


class Organisations:
    """Hold the organisations of all releases, and when each was put and accepted."""

    def __init__(self, record: Record, rng: random.Random):
        self._record = record
        self._rng = rng
        self._numbers = itertools.count(1)
        self._by_version: dict[int, tuple[Organisation, ...]] = {
            0: (
                Organisation(USUAL, (self._new_key(), self._new_key())),
                Organisation(GREEDY, (self._new_key(),), GREEDY_RATES_PER_S[1], 5.0),
                Organisation(MODEST, (self._new_key(),), 10.0, 10.0),
                Organisation(PROBE, (PROBE_KEY,)),
            )
        }
        self._put_at: dict[int, float] = {0: -math.inf}
        self._owners = {key: item.name for item in self._of(0) for key in item.keys}
        self._added_at: dict[str, float] = {}
        self._dropped_put_at: dict[str, float] = {}
        self._withdrawn_at: dict[str, float] = {}

    def make(self, version: int, base: int, now: float) -> list[dict]:
        """Make the organisations of a release by changing those of its base."""
        usual, greedy, *others = self._of(base)
        if self._rng.random() < NEW_KEY_CHANCE:
            usual = replace(usual, keys=(*usual.keys[1:], self._new_key()))
        if self._rng.random() < NEW_QUOTA_CHANCE:
            rate_per_s = self._rng.choice(GREEDY_RATES_PER_S)
            greedy = replace(greedy, rate_per_s=rate_per_s)
        made = (usual, greedy, *others)
        self._by_version[version] = made
        self._put_at[version] = now
        self._owners |= {key: item.name for item in made for key in item.keys}
        for key in self._dropped_by(version, base):
            self._dropped_put_at.setdefault(key, now)
        return [
            {
                "name": item.name,
                "keys": list(item.keys),
                "rate_per_s": item.rate_per_s,
                "burst": item.burst,
            }
            for item in made
        ]

    def release_acknowledged(self, version: int, now: float) -> None:
        """Record from when on keys are withdrawn and others are known."""
        for item in self._of(version):
            for key in item.keys:
                self._added_at.setdefault(key, now)
        for accepted, base in self._chain(version):
            for key in self._dropped_by(accepted, base):
                if key not in self._withdrawn_at:
                    self._withdrawn_at[key] = now
                    self._record.note(f"{key} was withdrawn by {accepted}")

    def choose(self, rng: random.Random, name: str) -> Credential:
        """Choose the key of a request: mostly one that is valid."""
        newest = max(self._record.acked_releases, default=0)
        keys = next(item.keys for item in self._of(newest) if item.name == name)
        kind = rng.random()
        if name != USUAL or kind < 0.7:
            key = rng.choice(keys)
        elif kind < 0.85 and self._withdrawn_at:
            key = rng.choice(list(self._withdrawn_at)[-3:])
        else:
            key = rng.choice(UNKNOWN_KEYS)
        return Credential(key, self._owners.get(key, ""))

    def check(self) -> None:
        """Check the keys and quotas of all requests that have run or were refused."""
        for request in self._record.requests.values():
            if request.credential is not None:
                for run in self._record.runs.get(request.id, ()):
                    self._check_key(request, run.at)
                if request.status == 401:
                    self._check_unauthorized(request)
        for name in (GREEDY, MODEST):
            self._check_windows(name)
            self._check_refusals(name)

    def _check_key(self, request: SentRequest, ran_at: float) -> None:
        key, described = request.credential.key, describe(request)
        if not request.credential.organisation:
            self._record.report_violation(f"{described} ran with the key {key!r}")
        late_s = ran_at - self._withdrawn_at.get(key, math.inf)
        if late_s > WITHDRAWAL_S + WITHDRAWAL_ALLOWANCE_S:
            at = ran_at - self._record.started_at
            text = f"{described} ran {late_s:.2f} s after {key} was withdrawn"
            self._record.report_violation(f"{text}, at {at:.3f}")

    def _check_unauthorized(self, request: SentRequest) -> None:
        key = request.credential.key
        known_s = request.sent_at - self._added_at.get(key, math.inf)
        dropped_at = self._dropped_put_at.get(key, math.inf)
        if known_s > ADDED_KEY_S and request.answered_at < dropped_at:
            text = f"{describe(request)} got 401 with a key known for {known_s:.2f} s"
            self._record.report_violation(text)

    def _check_windows(self, name: str) -> None:
        """Check the sum of a quota over any window, each request counted once."""
        periods = list(self._periods(name))
        window: deque[float] = deque()
        worst = (0.0, "")
        for at in sorted(
            self._record.runs[request.id][0].at
            for request in self._requests_of(name)
            if self._record.runs.get(request.id)
        ):
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            allowed = max(
                period.organisation.window_size
                for period in periods
                if period.begin <= at and period.end + IN_FORCE_S >= window[0]
            )
            until = at - self._record.started_at
            text = f"{len(window)} requests of {name} ran until {until:.3f}"
            worst = max(worst, (len(window) / allowed, f"{text}, {allowed} allowed"))
        self._record.note(f"fullest window: {worst[0]:.2f}, {worst[1]}")
        if worst[0] > 1:
            self._record.report_violation(worst[1])

    def _check_refusals(self, name: str) -> None:
        """Check that an organisation within its quota was not refused for it."""
        periods = [period.organisation for period in self._periods(name)]
        rate_per_s = min(item.rate_per_s for item in periods)
        burst = min(item.burst for item in periods)
        level, previous, beyond_at = 0.0, -math.inf, -math.inf
        for request in sorted(self._requests_of(name), key=lambda r: r.sent_at):
            elapsed_s = request.sent_at - previous
            level, previous = max(0.0, level - elapsed_s * rate_per_s), request.sent_at
            level += 1
            if level > burst:
                beyond_at = request.sent_at
            if request.status == 429 and request.sent_at - beyond_at > PAY_BACK_S:
                at = request.sent_at - self._record.started_at
                text = f"{describe(request)} got 429 within the quota of {name}"
                text += f", sent at {at:.3f} with {level:.1f} of {burst} in use"
                self._record.report_violation(text)

    def _requests_of(self, name: str) -> Iterator[SentRequest]:
        for request in self._record.requests.values():
            credential = request.credential
            if credential is not None and credential.organisation == name:
                yield request

    def _periods(self, name: str) -> Iterator[QuotaPeriod]:
        """Yield the quotas of the accepted releases, the newest first."""
        end = math.inf
        newest = max(self._record.acked_releases, default=0)
        for version, _ in self._chain(newest):
            [item] = [item for item in self._of(version) if item.name == name]
            yield QuotaPeriod(item, self._put_at[version], end)
            end = min(end, self._record.acked_releases.get(version, math.inf))

    def _chain(self, version: int) -> Iterable[tuple[int, int]]:
        """Yield a release and those that it replaced, with their bases."""
        while version:
            base = self._record.release_bases[version]
            yield version, base
            version = base

    def _dropped_by(self, version: int, base: int) -> set[str]:
        kept = {key for item in self._of(version) for key in item.keys}
        return {key for item in self._of(base) for key in item.keys} - kept

    def _of(self, version: int) -> tuple[Organisation, ...]:
        return self._by_version[version]

    def _new_key(self) -> str:
        return f"{KEY_PREFIX}{next(self._numbers)}-{self._rng.getrandbits(64):x}"
