"""Put releases, also against each other, and check what readers and nodes show."""

import itertools
import json
import random

import trio

from harness.soak.cluster import (
    Cluster,
    Connections,
    Process,
    encode_request,
    exchange,
)
from harness.soak.organisations import PROBE_KEY, Organisations
from harness.soak.record import Record, SentRelease
from harness.soak.releases import (
    HOST,
    ONLY,
    Flaw,
    encode_flawed,
    make_release,
    number_of,
)

PUT_TIMEOUT_S, PUT_TRIES = 1.2, 4
READ_INTERVAL_S, LONG_TIMEOUT_S = 0.15, 5.0
RETRY_PAUSE_S = 0.1
# Some changes come within a second, others stay the newest for longer than 2 s.
PAUSES_S = ((0.0, 0.1), (0.0, 0.1), (0.1, 0.6), (0.3, 0.9), (2.2, 2.9))
VERSION_STEPS = (1, 1, 2, 3, 7, 19)
FLAWED_CHANCE, SAME_VERSION_CHANCE, RESEND_CHANCE = 0.25, 0.4, 0.3
POLL_S = 0.4
IN_FORCE_S = 2.0
RECOVERY_S = 6.0
CHECK_INTERVAL_S = 0.05
INDEX_METRIC = b"release_index"


class Operator:
    """Put one release after the other at any control VM."""

    def __init__(
        self,
        cluster: Cluster,
        record: Record,
        organisations: Organisations,
        rng: random.Random,
    ):
        self._cluster = cluster
        self._record = record
        self._organisations = organisations
        self._rng = rng
        self._numbers = itertools.count(1)
        self._flaws = itertools.cycle(rng.sample(tuple(Flaw), len(Flaw)))
        self._connections = Connections()
        self._winners: dict[int, int] = {}
        self.is_done = False
        self._has_stopped = trio.Event()

    async def run(self) -> None:
        """Put releases until cancelled."""
        async with trio.open_nursery() as nursery:
            for node in self._cluster.nodes:
                nursery.start_soon(self._watch_index, node)
            nursery.start_soon(self._read_forever)
            # A newer release would hide the one that is checked.
            while not self.is_done:
                base = await self.read(self._rng.choice(self._cluster.control))
                if base is not None:
                    await self._change(base)
                await trio.sleep(self._rng.uniform(*self._rng.choice(PAUSES_S)))
            self._has_stopped.set()

    async def _change(self, base: int) -> None:
        """Put one release or several on one base, a flawed one, or one once more."""
        if base and self._rng.random() < FLAWED_CHANCE:
            await self._put_flawed(base, next(self._flaws))
        racers = self._rng.choice((1, 1, 2, 3))
        version = None
        if self._rng.random() < SAME_VERSION_CHANCE:
            version = self._next_version(base)
        async with trio.open_nursery() as race:
            for _ in range(racers):
                race.start_soon(self.put, base, version)
        newest = max(self._record.acked_releases, default=0)
        if newest > base and self._rng.random() < RESEND_CHANCE:
            await self._resend(newest)

    async def stop(self) -> None:
        """Put no more releases and wait for the answers to the last ones."""
        self.is_done = True
        await self._has_stopped.wait()

    async def _read_forever(self) -> None:
        while True:
            await trio.sleep(READ_INTERVAL_S)
            vm = self._rng.choice(self._cluster.control)
            await self.read(vm)

    async def read(self, vm: Process, timeout_s: float = PUT_TIMEOUT_S) -> int | None:
        """Return the number of the release at a control VM; None without an answer."""
        newest = max(self._record.acked_releases, default=0)
        request = encode_request("GET", "/release")
        reply = await self._exchange(vm, request, timeout_s)
        if reply is None or reply[0] != 200 and b"noRelease" not in reply[1]:
            return None
        body = json.loads(reply[1])
        number = number_of(body)
        release = self._record.releases.get(number)
        if number < newest:
            text = f"{vm.name} shows release {number} after {newest} was acknowledged"
            self._record.report_violation(text)
        if release and body != release.body or not release and reply[0] == 200:
            text = f"{vm.name} shows a release that was not sent so: {body}"
            self._record.report_violation(text)
        return number

    async def put(self, base: int, version: int | None = None) -> int:
        """Put a release, again elsewhere without an answer; return 0 or its number."""
        release = self._make(base, version)
        request = encode_request("PUT", "/release", release.body)
        for _ in range(PUT_TRIES):
            vm = self._rng.choice(self._cluster.control)
            reply = await self._exchange(vm, request)
            status = 0 if reply is None else reply[0]
            if status == 200:
                self._record_ack(vm, release)
                return release.number
            if 400 <= status < 500:
                # Whether it was accepted all the same is checked at the end.
                release.refused_with = status
                return 0
            await trio.sleep(RETRY_PAUSE_S)
        return 0

    async def _put_flawed(self, base: int, flaw: Flaw) -> None:
        """Put a release that is invalid."""
        release = self._make(base)
        older = self._record.releases[base].body
        data = encode_flawed(release.body, older, flaw, self._rng)
        head = f"PUT /release HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {len(data)}"
        vm = self._rng.choice(self._cluster.control)
        reply = await self._exchange(vm, f"{head}\r\n\r\n".encode() + data)
        self._record.note(
            f"release {release.number}, {flaw.value}: {reply and reply[0]}"
        )
        release.refused_with = 400
        if reply is not None and not 400 <= reply[0] < 600:
            text = f"{vm.name} took release {release.number} though {flaw.value}"
            self._record.report_violation(f"{text}: {reply[0]}")

    async def _resend(self, number: int) -> None:
        """Put the newest acknowledged release once more, at any control VM."""
        release = self._record.releases[number]
        vm = self._rng.choice(self._cluster.control)
        request = encode_request("PUT", "/release", release.body)
        reply = await self._exchange(vm, request)
        if reply is not None and 400 <= reply[0] < 500:
            text = f"{vm.name} refused release {number} when it was put once more"
            self._record.report_violation(f"{text}: {reply}")

    async def _exchange(
        self, vm: Process, request: bytes, timeout_s: float = PUT_TIMEOUT_S
    ):
        address = vm.address("releases")
        return await self._connections.exchange(address, request, timeout_s)

    def _make(self, base: int, version: int | None = None) -> SentRelease:
        number, now = next(self._numbers), trio.current_time()
        self._record.release_bases[number] = base
        organisations = self._organisations.make(number, base, now)
        older = self._record.releases[base].body if base else None
        version = version or self._next_version(base)
        body = make_release(number, version, older, organisations, self._rng)
        release = SentRelease(number, version, base, body, now)
        self._record.releases[number] = release
        return release

    def _next_version(self, base: int) -> int:
        older = self._record.releases[base].version if base else 0
        return older + self._rng.choice(VERSION_STEPS)

    def _record_ack(self, vm: Process, release: SentRelease) -> None:
        number, base, now = release.number, release.base, trio.current_time()
        described = f"release {number} (version {release.version}) on {base}"
        self._record.note(f"{described} acknowledged by {vm.name}")
        release.acked_at = now
        self._record.acked_releases.setdefault(number, now)
        self._organisations.release_acknowledged(number, now)
        if self._winners.setdefault(base, number) != number:
            other = self._winners[base]
            text = f"releases {other} and {number} on {base} were both acknowledged"
            self._record.report_violation(text)

    async def _watch_index(self, node: Process) -> None:
        """Check that the release of a running node never goes back."""
        life, highest = 0, 0.0
        while True:
            await trio.sleep(POLL_S)
            if node.lives != life:
                life, highest = node.lives, 0.0
            request = encode_request("GET", "/metrics")
            address = node.address("metrics", "releases")
            reply = await exchange(address, request, LONG_TIMEOUT_S)
            if reply is None or node.lives != life:
                continue
            [index] = [
                float(line.split()[-1])
                for line in reply[1].splitlines()
                if INDEX_METRIC in line and not line.startswith(b"#")
            ]
            if index < highest:
                text = f"{node.name} went from release index {highest} to {index}"
                self._record.report_violation(text)
            highest = index

    async def check_recovery(self, within_s: float = RECOVERY_S) -> None:
        """Check that releases and requests work again soon after the last fault."""
        started_at = trio.current_time()
        number = 0
        with trio.move_on_after(within_s):
            while not number:
                base = await self.read(self._rng.choice(self._cluster.control))
                if base is not None:
                    number = await self.put(base)
                await trio.sleep(CHECK_INTERVAL_S)
        if not number:
            text = f"no release acknowledged {within_s} s after the last fault"
            self._record.report_violation(text)
            return
        async with trio.open_nursery() as nursery:
            for node in self._cluster.nodes:
                nursery.start_soon(self._check_in_force, node, number)
                nursery.start_soon(self._check_service, node, started_at, within_s)
        for vm in self._cluster.control:
            acked = tuple(self._record.acked_releases)
            final = await self.read(vm, LONG_TIMEOUT_S)
            if final is None:
                self._record.report_violation(f"{vm.name} does not show the release")
            else:
                self._record.final_release = final
                self._record.check_final_release(final, acked)

    async def _check_in_force(self, node: Process, number: int) -> None:
        """Check that a node soon routes by an acknowledged release."""
        with trio.move_on_after(IN_FORCE_S):
            while await self._probe(node, f"{ONLY}{number}/x") in (0, 404):
                await trio.sleep(CHECK_INTERVAL_S)
            return
        text = f"release {number} not in force at {node.name} after {IN_FORCE_S} s"
        self._record.report_violation(text)

    async def _check_service(
        self, node: Process, started_at: float, within_s: float
    ) -> None:
        """Check that a node serves each route several times in a row."""
        seen: list[int] = []
        while seen[-9:].count(200) < 9:
            if trio.current_time() > started_at + within_s:
                text = f"{node.name} has not recovered after {within_s} s: {seen[-20:]}"
                self._record.report_violation(text)
                return
            for route in ("read", "cue", "keyed/read"):
                seen.append(await self._probe(node, f"/{route}/probe"))
            await trio.sleep(CHECK_INTERVAL_S)
        took_s = trio.current_time() - started_at
        self._record.note(f"{node.name} has recovered after {took_s:.1f} s")

    async def _probe(self, node: Process, path: str) -> int:
        lines = "persimmonhall-attempt: probe\r\npersimmonhall-deadline-ms: 1000"
        lines += f"\r\nauthorization: Bearer {PROBE_KEY}"
        request = f"GET {path} HTTP/1.1\r\nhost: maps.example\r\n{lines}\r\n\r\n"
        reply = await exchange(node.address("callers"), request.encode(), 2.0)
        return 0 if reply is None else reply[0]
