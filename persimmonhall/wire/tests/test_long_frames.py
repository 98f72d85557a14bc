"""Check that large messages pass in parts, within the room of their receiver."""

import pytest

from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    CallFrameError,
    CallFrameReader,
    FrameType,
    pack_frame,
)
from persimmonhall.wire.long_frames import (
    MAX_QUEUED_BYTES,
    PART_BYTES,
    PART_HEADER,
    LongFrameReceiver,
    LongFrameSender,
)
from persimmonhall.wire.transfer_budget import TransferBudget

MIB = 1024 * 1024


class TransferFixture:
    """Connect a sender and a receiver by a wire that the test empties."""

    def __init__(self, max_bytes=4 * MIB):
        self.wire = bytearray()
        self.budget = TransferBudget(max_bytes, lambda: self.others)
        self.others = 0
        self.sender = LongFrameSender(
            FrameType.CALL, self.wire.extend, lambda: len(self.wire)
        )
        self.receiver = LongFrameReceiver(FrameType.CALL, self._grant, self.budget)
        self.received = []
        self.kinds = []

    def _grant(self, frame):
        [(_, payload)] = CallFrameReader().feed(frame)
        self.sender.grant(CALL_NUMBER.unpack(payload)[0])

    def deliver(self):
        """Deliver what was written, once."""
        frames = CallFrameReader().feed(bytes(self.wire))
        self.wire.clear()
        for kind, payload in frames:
            self.kinds.append(kind)
            if kind == FrameType.PART:
                message = self.receiver.add(payload)
                if message is not None:
                    self.received.append(message)
        self.sender.pump()

    def deliver_all(self):
        """Deliver until nothing more is written."""
        while self.wire:
            self.deliver()


def make_data(size, seed=1):
    """Return bytes that differ from part to part."""
    return bytes((number // PART_BYTES + seed) % 251 for number in range(size))


# A body of 24 MiB and more ended the link to its gate, with the calls of others.
async def test_message_arrives_whole_and_others_pass_between_its_parts():
    """Queue few bytes at a time, however large the message is."""
    fixture = TransferFixture()
    data = make_data(2 * MIB + 7)
    fixture.sender.send(1, data)
    most = 0
    while fixture.wire:
        most = max(most, len(fixture.wire))
        fixture.wire += pack_frame(FrameType.PING)
        fixture.deliver()
        if fixture.received:
            break
    assert fixture.received[0].data == data
    assert most < MAX_QUEUED_BYTES + 2 * PART_BYTES
    assert fixture.kinds.count(FrameType.PING) > 5
    assert fixture.sender.queued_bytes == 0


async def test_messages_beyond_the_room_wait_with_their_sender():
    """Hold one part of each that waits; grant in the order of arrival."""
    fixture = TransferFixture()
    for number in range(1, 6):
        fixture.sender.send(number, make_data(3 * MIB, number))
    fixture.deliver_all()
    assert [message.number for message in fixture.received] == [1]
    assert fixture.budget.held_bytes == 3 * MIB
    assert fixture.sender.queued_bytes == 4 * 3 * MIB
    fixture.received[0].reservation.release()
    fixture.deliver_all()
    assert [message.number for message in fixture.received] == [1, 2]


async def test_message_of_any_size_fits_alone():
    """Let one through that is larger than all room."""
    fixture = TransferFixture(max_bytes=MIB)
    fixture.sender.send(1, make_data(3 * MIB))
    fixture.deliver_all()
    assert len(fixture.received) == 1


async def test_room_that_others_take_is_counted_until_they_free_it():
    """Grant at the next step, as nobody tells when callers have read."""
    fixture = TransferFixture()
    fixture.others = 3 * MIB
    fixture.sender.send(1, make_data(2 * MIB))
    fixture.deliver_all()
    assert not fixture.received
    fixture.others = 0
    fixture.budget.step()
    fixture.deliver_all()
    assert len(fixture.received) == 1


@pytest.mark.parametrize("is_granted", [True, False])
async def test_cancelled_message_frees_its_room(is_granted):
    """Grant the next one; what was cancelled never arrives."""
    fixture = TransferFixture()
    fixture.others = 0 if is_granted else 5 * MIB
    fixture.sender.send(1, make_data(3 * MIB))
    fixture.deliver()
    assert fixture.sender.cancel(1)
    fixture.deliver_all()
    fixture.receiver.cancel(1)
    assert fixture.budget.held_bytes == fixture.budget.waiting_count == 0
    fixture.others = 0
    fixture.sender.send(2, make_data(3 * MIB))
    fixture.deliver_all()
    assert [message.number for message in fixture.received] == [2]


async def test_closed_receiver_frees_all_room():
    """Free granted and waiting messages of a connection that has ended."""
    fixture = TransferFixture()
    for number in (1, 2, 3):
        fixture.sender.send(number, make_data(3 * MIB))
    fixture.deliver()
    fixture.receiver.close()
    assert fixture.budget.held_bytes == fixture.budget.waiting_count == 0


@pytest.mark.parametrize(
    "payload",
    [
        b"short",
        PART_HEADER.pack(FrameType.REPLY, 1, MIB) + b"x",
        PART_HEADER.pack(FrameType.CALL, 1, 2**40) + b"x",
        PART_HEADER.pack(FrameType.CALL, 1, MIB),
        PART_HEADER.pack(FrameType.CALL, 1, 3) + b"more",
    ],
)
async def test_damaged_part_is_an_error_of_the_link(payload):
    """Raise the error that ends a link."""
    with pytest.raises(CallFrameError):
        TransferFixture().receiver.add(payload)
