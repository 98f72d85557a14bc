"""Test which changes a control VM accepts while voters are missing."""

from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from persimmonhall.control.state_machine import StateMachine
from persimmonhall.dialect import NativeDialect
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.events import EventLog
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import LogIndex
from persimmonhall.raft.messages import Member, ReplicaSet
from persimmonhall.release.api import ReleaseApi
from persimmonhall.release.messages import PutRelease
from persimmonhall.release.tests.builders import encode_release, make_release

INITIAL_VOTERS = 3


class FakeReplica:
    """Commit each command at once in a set of a given number of voters."""

    def __init__(self, voters: int, settled: int = 0, applied: bool = False):
        members = tuple(Member(f"{n}", f"{n}", "", True) for n in range(voters))
        replicas = ReplicaSet("cluster", members, settled)
        self.core = SimpleNamespace(replicas=replicas)
        self.machine = StateMachine()
        self.has_quorum = True
        self.unapplied = []
        if applied:
            self.unapplied.append(PutRelease("first", 1, 0, b"{}"))

    async def submit(self, command):
        """Apply one command."""
        await self.read_barrier()
        return Success(self.machine.apply(command, LogIndex(self.machine.index + 1)))

    async def read_barrier(self):
        """Apply what was committed before."""
        if not self.has_quorum:
            return Failure(refuse(ErrorKind.NO_QUORUM, "no leader confirmed the read"))
        for command in self.unapplied:
            self.machine.apply(command, LogIndex(self.machine.index + 1))
        self.unapplied = []
        return Success(None)


async def put(replica: FakeReplica, version: int) -> int:
    """Put a release on the version before it and return the status."""
    api = ReleaseApi(replica, NativeDialect(), INITIAL_VOTERS, EventLog("core-1"))
    body = encode_release(make_release(version=version, base=version - 1))
    return (await api.handle(HttpRequest("PUT", "/release", (), body))).status


@pytest.mark.parametrize("voters", [1, 2])
async def test_first_release_waits_for_all_initial_voters(voters):
    assert await put(FakeReplica(voters), 1) == 503
    assert await put(FakeReplica(INITIAL_VOTERS), 1) == 200


# A voter that stayed out of the set stopped all changes to the end of a run.
async def test_change_is_accepted_though_a_voter_is_missing():
    assert await put(FakeReplica(2, applied=True), 2) == 200
    assert await put(FakeReplica(2, settled=INITIAL_VOTERS), 1) == 200


async def test_change_on_a_single_disk_is_refused():
    assert await put(FakeReplica(1, applied=True), 2) == 503


async def test_smaller_set_that_has_settled_was_not_complete():
    assert await put(FakeReplica(2, settled=2), 1) == 503


async def test_replica_that_can_not_catch_up_refuses():
    replica = FakeReplica(2, applied=True)
    replica.has_quorum = False
    assert await put(replica, 2) == 503
