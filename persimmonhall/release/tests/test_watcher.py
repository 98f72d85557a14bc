"""Check from which control VMs a node gets its releases, and how often."""

import random
from collections import Counter

import pytest
import trio
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import REPLIES, REQUESTS
from persimmonhall.events import EventLog
from persimmonhall.membership.control_members import CONTROL_SERVICE, ControlMembers
from persimmonhall.membership.effects import address_of
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.release.messages import HeldRelease, ReleaseSeen
from persimmonhall.release.watcher import ReleaseWatcher
from persimmonhall.wire.link import LinkError
from tests.builders import make_member

ZONES = ("suva", "nadi", "lautoka", "labasa", "savusavu", "sigatoka")
VMS_PER_ZONE = 2
RELEASES = 20
RELEASE_INTERVAL_S = 0.5
TEXT = b"r" * 4000
APPLY_TIMEOUT_S = 2.0


def make_control_vm(zone, number):
    """Build the record of a control VM."""
    frames = f"10.{ZONES.index(zone)}.0.{number}:7000"
    state = MemberState.READY
    name = f"core-{zone}-{number}"
    return Member(name, zone, "viti", frames, 1, 1, CONTROL_SERVICE, 0, state)


class FakeReleases:
    """Record when each release was applied."""

    def __init__(self):
        self.index = 0
        self.applied_at = {}

    def apply(self, held):
        """Apply a newer release."""
        if held.index > self.index:
            self.index = held.index
            self.applied_at[held.index] = trio.current_time()


class ControlVms:
    """Answer watches as the control VMs of a site do; some of them never answer."""

    def __init__(self, zones=ZONES, vms_per_zone=VMS_PER_ZONE):
        self.members = [
            make_control_vm(zone, number)
            for zone in zones
            for number in range(vms_per_zone)
        ]
        self.zones = {address_of(m.frames): m.zone for m in self.members}
        self.unresponsive = set()
        self.behind = set()
        self.index = 0
        self.changed = trio.Event()
        self.sent_bytes = Counter()
        self.requests = 0

    def address_in(self, zone):
        """Return the address of the first control VM of a zone."""
        return next(a for a, other in self.zones.items() if other == zone)

    def put(self):
        """Accept one more release."""
        self.index += 1
        self.changed.set()
        self.changed = trio.Event()

    async def request(self, address, channel, payload):
        """Answer a watch after at most a second."""
        watch = REQUESTS.decode(payload)
        self.requests += 1
        if address in self.unresponsive:
            await trio.sleep_forever()
        held = HeldRelease(0, 0, b"")
        with trio.move_on_after(1.0):
            while self.index <= watch.after or address in self.behind:
                await self.changed.wait()
            text = b"" if watch.is_notice else TEXT
            held = HeldRelease(self.index, self.index, text)
        reply = REPLIES.encode(ReleaseSeen(held))
        self.sent_bytes[self.zones[address]] += len(reply)
        return Success(reply)

    def reset(self, address):
        """Do nothing."""


def start_watcher(nursery, site, seed=1):
    """Run the watcher of one node in the first zone of a site."""
    table = MemberTable(make_member(1))
    for member in site.members:
        table.put(member)
    site.releases = FakeReleases()
    control = ControlMembers(table, ())
    rng = random.Random(seed)
    watcher = ReleaseWatcher(site.releases, control, "suva", site, rng, EventLog("n"))
    nursery.start_soon(watcher.run)
    return site


@pytest.fixture
async def site(nursery, autojump_clock):
    """Run the watcher of one node of a site with twelve VMs in six zones."""
    return start_watcher(nursery, ControlVms())


async def put_releases(site, interval_s=RELEASE_INTERVAL_S):
    """Put releases in quick succession; return the longest time until one applied."""
    longest_s = 0.0
    for _ in range(RELEASES):
        await trio.sleep(interval_s)
        site.put()
        put_at, index = trio.current_time(), site.index
        while site.releases.index < index:
            await trio.sleep(0.01)
            if trio.current_time() - put_at > 2 * APPLY_TIMEOUT_S:
                return None
        longest_s = max(longest_s, trio.current_time() - put_at)
    return longest_s


async def test_releases_in_quick_succession_come_from_the_own_zone(
    site, autojump_clock
):
    """Send each release to a node once, and across zones only its index."""
    assert await put_releases(site) < 0.1
    remote_bytes = sum(site.sent_bytes[zone] for zone in ZONES[1:])
    assert remote_bytes < RELEASES * len(TEXT) / 10
    assert site.sent_bytes["suva"] < 1.5 * RELEASES * len(TEXT)


async def test_control_vms_of_a_zone_that_are_behind_delay_no_release(
    site, autojump_clock
):
    """Fetch a release from another zone if those of the own zone don't have it."""
    site.behind = {a for a, zone in site.zones.items() if zone == "suva"}
    assert await put_releases(site) < APPLY_TIMEOUT_S


async def test_unresponsive_control_vms_of_a_zone_delay_no_release(
    site, autojump_clock
):
    """Fetch a release from another zone if those of the own zone don't answer."""
    site.unresponsive = {a for a, zone in site.zones.items() if zone == "suva"}
    assert await put_releases(site) < APPLY_TIMEOUT_S


@pytest.mark.parametrize("seed", range(8))
async def test_control_vm_behind_and_a_silent_one_delay_no_release(
    nursery, autojump_clock, seed
):
    """Guard against a node that asked the same two VMs again and missed 2 s."""
    site = start_watcher(nursery, ControlVms(ZONES[:4], 1), seed)
    site.behind = {site.address_in("suva")}
    site.unresponsive = {site.address_in("nadi")}
    await put_releases(site)
    assert await put_releases(site, interval_s=1.3) < 0.5


async def test_control_vm_that_is_back_is_watched_again(nursery, autojump_clock):
    """Take releases from the own zone again once its VM has them again."""
    site = start_watcher(nursery, ControlVms(ZONES[:4], 1))
    for harmed in (site.behind, site.unresponsive):
        harmed.add(site.address_in("suva"))
        assert await put_releases(site) is not None
        harmed.clear()
        site.put()
        await trio.sleep(5)
        site.sent_bytes.clear()
        assert await put_releases(site) < 0.1
        assert site.sent_bytes["suva"] >= RELEASES * len(TEXT)


async def test_release_that_cannot_be_read_is_not_fetched_without_a_pause(
    site, autojump_clock
):
    """Guard against a node that asked for it thousands of times a second."""
    site.releases.apply = lambda held: False
    site.put()
    site.requests = 0
    await trio.sleep(10)
    assert site.requests < 100
    del site.releases.apply
    site.put()
    await trio.sleep(0.5)
    assert site.releases.index == site.index


async def test_failed_watch_is_made_again_elsewhere(nursery, autojump_clock):
    """Keep watching while every request fails, without a storm of requests."""
    requests = 0

    class Links:
        async def request(self, address, channel, payload):
            nonlocal requests
            requests += 1
            return Failure(LinkError("refused", is_sent=False))

    table = MemberTable(make_control_vm("suva", 1))
    control = ControlMembers(table, ())
    watcher = ReleaseWatcher(
        FakeReleases(), control, "suva", Links(), random.Random(1), EventLog("n")
    )
    with trio.move_on_after(10):
        await watcher.run()
    assert 50 < requests < 200


def test_addresses_are_those_of_the_zone():
    """List the control VMs of one zone only."""
    table = MemberTable(make_control_vm("suva", 1))
    table.put(make_control_vm("nadi", 1))
    assert ControlMembers(table, ()).addresses_in("nadi") == [Address("10.1.0.1", 7000)]
