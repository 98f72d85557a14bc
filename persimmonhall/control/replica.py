"""Process commands and reads of the replicated state on one control VM."""

import itertools
from dataclasses import replace

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.applier import Applier
from persimmonhall.control.messages import (
    COMMAND_REPLIES,
    COMMANDS,
    Command,
    CommandReply,
    Declined,
)
from persimmonhall.control.peers import Peers
from persimmonhall.control.pending_commands import PendingCommands
from persimmonhall.control.replica_messages import (
    Forward,
    Forwarded,
    ReadAt,
    ReadIndex,
    Remove,
)
from persimmonhall.control.state_machine import StateMachine
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex, NodeName, ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.messages import Snapshot
from persimmonhall.raft.role import Role
from persimmonhall.raft.storage import Storage

SUBMIT_TIMEOUT_S = 4.0
LEADERLESS_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.1
TRANSFER_TIMEOUT_S = 2.0
RETRYABLE_ERRORS = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM})


class Replica:
    """Append commands through the leader and apply committed ones locally."""

    def __init__(
        self, core: RaftCore, storage: Storage, peers: Peers, snapshot_entries: int
    ):
        self._core = core
        self._peers = peers
        self._pending_commands = PendingCommands()
        self._read_ids = itertools.count(1)
        self._applier = Applier(
            core,
            self._pending_commands,
            self._wake_driver,
            self._stage_snapshot,
            snapshot_entries,
        )
        self._driver = RaftDriver(core, storage, self._send, self._applier.apply)
        peers.set_exit_callback(self._on_peer_exit)

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state."""
        return self._applier.machine

    @property
    def is_current(self) -> bool:
        """Return whether a leader is known and all committed entries are applied."""
        core = self._core
        is_caught_up = core.leader_id is not None and core.is_caught_up
        return is_caught_up and not self._applier.has_pending_items

    @property
    def core(self) -> RaftCore:
        """Return the Raft core."""
        return self._core

    @property
    def driver(self) -> RaftDriver:
        """Return the driver of the Raft core."""
        return self._driver

    @property
    def peers(self) -> Peers:
        """Return the connections to the other replicas."""
        return self._peers

    @property
    def _leader_address(self) -> Address | None:
        leader = self._core.leader_id
        return self._peers.address_of(self._core, leader) if leader else None

    async def run(self) -> None:
        """Run until cancelled; raise DiskFailedError if the disk fails."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._applier.run)
            nursery.start_soon(self._driver.run)

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Append an idempotent command through the leader, with retries."""
        data = COMMANDS.encode(command)
        ran = Ran.NO
        failure = refuse(ErrorKind.NO_QUORUM, "no leader is known")
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while True:
                ran_before, ran = ran, Ran.UNKNOWN
                result = await self._submit_once(data)
                match result:
                    case Success():
                        return result
                    case Failure(failure):
                        ran = failure.ran if ran_before is Ran.NO else ran_before
                if failure.kind not in RETRYABLE_ERRORS or self._is_leaderless():
                    break
                await trio.sleep(RETRY_INTERVAL_S)
        return Failure(replace(failure, ran=ran))

    async def submit_locally(self, data: bytes) -> Result[CommandReply, Refusal]:
        """Append a command if this replica is the leader."""
        full = self._driver.disk_full_reason
        # A caller that is refused by a former leader asks the new one.
        if full and self._core.accepts_proposals:
            refusal = refuse(
                ErrorKind.STORAGE_FAILED, f"storage full: {full}", ran=Ran.NO
            )
            return Failure(refusal)
        index = self._core.propose(data)
        if index is None:
            return Failure(
                refuse(ErrorKind.NOT_LEADER, "this replica is not the leader")
            )
        self._driver.wake()
        return await self._pending_commands.wait(index, self._core.term)

    async def read_barrier(self) -> Result[None, Refusal]:
        """Wait until all commands accepted before this call are applied locally."""
        with trio.move_on_after(READ_TIMEOUT_S):
            while True:
                index = await self.read_index()
                if index is None:
                    index = await self._request_read_index()
                if index is not None:
                    await self._wait_until_applied(index)
                    return Success(None)
                if self._is_leaderless():
                    break
                await trio.sleep(RETRY_INTERVAL_S)
        return Failure(refuse(ErrorKind.NO_QUORUM, "no leader confirmed the read"))

    async def read_index(self) -> LogIndex | None:
        """Return the read index, or None unless this replica is the leader."""
        return await self._driver.read_index(next(self._read_ids))

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another replica before a graceful shutdown."""
        with trio.move_on_after(TRANSFER_TIMEOUT_S):
            while self._core.role is Role.LEADER:
                if not self._core.transfer_leadership(trio.current_time()):
                    return
                self._driver.wake()
                await self._driver.changed.wait()

    async def remove(self, name: NodeName) -> Result[None, Refusal]:
        """Remove a replica from the set through the leader."""
        address = self._leader_address
        if address is None:
            return Failure(refuse(ErrorKind.NO_QUORUM, "no leader is known"))
        match await self._peers.send_request(address, Remove(name), FORWARD_TIMEOUT_S):
            case Success(Declined(kind, detail, ran)):
                return Failure(refuse(kind, detail, ran=ran))
            case Success():
                return Success(None)
            case failure:
                return failure

    def _is_leaderless(self) -> bool:
        since = self._driver.leaderless_since
        return trio.current_time() >= since + LEADERLESS_TIMEOUT_S

    async def _submit_once(self, data: bytes) -> Result[CommandReply, Refusal]:
        if self._core.role is Role.LEADER:
            return await self.submit_locally(data)
        leader, address = self._core.leader_id, self._leader_address
        if leader is None or address is None:
            return Failure(refuse(ErrorKind.NO_QUORUM, "no leader is known"))
        match await self._forward(leader, address, data):
            case Success(Forwarded(reply)):
                return Success(COMMAND_REPLIES.decode(reply))
            case Success(Declined(kind, detail, ran)):
                return Failure(refuse(kind, detail, ran=ran))
            case failure:
                return failure

    async def _forward(
        self, leader: ReplicaId, address: Address, data: bytes
    ) -> Result:
        """Forward a command; stop waiting for the reply if the leader changes."""
        detail = "another leader took over"
        result = Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=Ran.UNKNOWN))
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._cancel_on_leader_change, leader, scope)
            result = await self._peers.send_request(
                address, Forward(data), FORWARD_TIMEOUT_S
            )
            scope.cancel()
        return result

    async def _cancel_on_leader_change(
        self, leader: ReplicaId, scope: trio.CancelScope
    ) -> None:
        while self._core.leader_id == leader:
            await self._driver.changed.wait()
        scope.cancel()

    async def _request_read_index(self) -> LogIndex | None:
        address = self._leader_address
        if address is None or self._core.leader_id == self._core.id:
            return None
        match await self._peers.send_request(address, ReadIndex(), READ_TIMEOUT_S):
            case Success(ReadAt(index)):
                return index
        return None

    async def _wait_until_applied(self, index: LogIndex) -> None:
        while self.machine.index < index:
            await self._driver.changed.wait()

    def _on_peer_exit(self, address: Address) -> None:
        leader = self._core.leader_id
        if leader is not None and self._leader_address == address:
            logging.info("leader gone id=%s address=%s", leader, address)
            self._core.report_peer_exit(leader, trio.current_time())
            self._wake_driver()

    def _wake_driver(self) -> None:
        self._driver.wake()

    async def _stage_snapshot(self, snapshot: Snapshot) -> bool:
        return await self._driver.stage_snapshot(snapshot)

    def _send(self, recipient, message) -> None:
        self._peers.send(self._core, recipient, message)
