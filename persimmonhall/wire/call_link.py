"""Send calls over the link to one peer and match the replies."""

import math
import socket as sockets
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import trio

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog
from persimmonhall.ids import CallNumber
from persimmonhall.timers import Timers
from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    PREAMBLE,
    STREAM_POSITION,
    CallFrameError,
    CallFrameReader,
    FrameType,
    RoutedCall,
    RoutedReply,
    decode_reply,
    encode_call,
    pack_frame,
)
from persimmonhall.wire.connection_setup import PendingConnection
from persimmonhall.wire.duplex import Duplex
from persimmonhall.wire.long_frames import (
    LongFrameReceiver,
    LongFrameSender,
    LongMessage,
)
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import LARGE_BYTES, TransferBudget

CONNECT_TIMEOUT_S = 0.5  # 25 times the maximum latency between zones of a region
CHECK_INTERVAL_S = 0.1
# While calls are pending, a link without received data is pinged; a link with many
# pending calls sooner, as it is seldom silent.
PING_AFTER_SILENCE_S = 0.3
BUSY_PING_AFTER_SILENCE_S = 0.1
MIN_BUSY_CALLS = 6
# Once the answer is this late, calls are held; the silence ends the link.
MAX_PONG_DELAY_S = 0.1
MAX_SILENCE_S = 0.8
# A call that may run only once is sent only to a peer heard from within this time, as
# nobody can tell whether a peer that was lost meanwhile has read it.
MAX_PEER_AGE_S = 0.05
# Held calls are returned as not sent if the peer answers no ping for this long.
MAX_HOLD_S = 0.4
# With more unsent data than this, the peer no longer reads: its calls are lost.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
PING_FRAME = pack_frame(FrameType.PING)


class ReplyHandler(Protocol):
    """Handle the replies and failures of calls that were sent."""

    def handle_reply(self, reply: RoutedReply) -> None:
        """Handle a reply."""

    def handle_link_failure(self, number: CallNumber, ran: Ran, detail: str) -> None:
        """Handle a call without a reply because its link has failed."""


class CallLink:
    """Send calls to one peer and close the link when the peer stops responding."""

    def __init__(
        self,
        address: Address,
        reply_handler: ReplyHandler,
        log: EventLog,
        may_send: Callable[[CallNumber], bool] = lambda number: True,
        budget: TransferBudget | None = None,
    ):
        self.address = address
        self._reply_handler = reply_handler
        self._log = log
        self._may_send = may_send
        # With the position in the stream at which the frame of a call ends, infinite
        # for a large one that is not sent in full.
        self._pending_calls: dict[CallNumber, float] = {}
        self._stream_bytes = 0
        # Up to where a peer that stops has read.
        self._read_position = math.inf
        # Calls of which no byte was sent, with the time since when, oldest first.
        self._held_calls: dict[CallNumber, tuple[RoutedCall, float]] = {}
        self._duplex: Duplex | None = None
        self._large_calls = LongFrameSender(
            FrameType.CALL, self._write, lambda: self._duplex.unsent_bytes
        )
        self._large_replies = LongFrameReceiver(
            FrameType.REPLY,
            self._write,
            budget or TransferBudget(),
            self._pending_calls.__contains__,
        )
        self._reader = CallFrameReader()
        self._last_received_at = 0.0
        self._connected_at = 0.0
        # Unlike the silence timeout, not restarted after a pause of this process.
        self._last_heard_at = -math.inf
        self._pinged_at = math.inf
        self.is_closed = False
        self.close_reason = f"no connection within {CONNECT_TIMEOUT_S} s"

    def connect(
        self, poller: Poller, timers: Timers, on_connected: Callable[[], None]
    ) -> None:
        """Connect, then send the queued calls."""

        def on_open(socket: sockets.socket) -> None:
            self._handle_connected(socket, poller)
            on_connected()

        def on_error(error: OSError) -> None:
            self.drop(str(error))

        connection = PendingConnection(self.address, poller, on_open, on_error)
        connection.set_deadline(timers, timers.now() + CONNECT_TIMEOUT_S)

    @property
    def is_connected(self) -> bool:
        """Return whether the link was ever connected."""
        return self._duplex is not None

    @property
    def _max_quiet_s(self) -> float:
        """Return the time without received data after which the peer is pinged."""
        is_busy = len(self._pending_calls) >= MIN_BUSY_CALLS
        return BUSY_PING_AFTER_SILENCE_S if is_busy else PING_AFTER_SILENCE_S

    def send(self, call: RoutedCall) -> None:
        """Send a call, or hold it until the peer is connected and known to respond."""
        self._pending_calls[call.number] = 0
        now = current_time()
        if self._duplex is None:
            self._hold(call, now)
            return
        if len(self._pending_calls) == 1:
            self._last_received_at = now
        if self._is_responding(call, now):
            self._send_call(call)
        else:
            self._hold(call, now)
            self._ping()

    def cancel(self, number: CallNumber) -> bool:
        """Cancel a call; return whether no byte of it was sent."""
        if number not in self._pending_calls:
            return False
        del self._pending_calls[number]
        if self._held_calls.pop(number, None) is not None:
            return True
        # A peer handles whole messages only.
        is_unsent = self._large_calls.cancel(number)
        self._large_replies.cancel(number)
        if self._duplex is not None:
            self._write(pack_frame(FrameType.CANCEL, CALL_NUMBER.pack(number)))
        return is_unsent

    def check(self, now: float) -> None:
        """Ping a peer that sends nothing, and close the link if it stays silent."""
        if self._duplex is None or self.is_closed:
            return
        if self._duplex.unsent_bytes > MAX_UNSENT_BYTES:
            self.drop("the peer does not read its data")
            return
        overdue = [
            number
            for number, (_, held_since) in self._held_calls.items()
            if now - max(held_since, self._connected_at) > MAX_HOLD_S
        ]
        self._return_held_calls(overdue, f"no answer to a ping within {MAX_HOLD_S} s")
        silent_s = now - self._last_received_at
        if self._pinged_at < math.inf and silent_s > MAX_SILENCE_S:
            # Else calls in the kernel would reach a peer that is back much later.
            self._duplex.abort()
            self.drop(f"no data from the peer for {silent_s:.2f} s")
        elif self._pending_calls and silent_s > self._max_quiet_s:
            self._ping()

    def restart_silence_timeout(self, now: float) -> None:
        """Restart the silence timeout after a pause of this process."""
        self._last_received_at = now
        self._pinged_at = math.inf

    def drop(self, reason: str) -> None:
        """Close the link and report its calls as failed."""
        self.close_reason = reason
        self._close()

    def _handle_connected(self, socket: sockets.socket, poller: Poller) -> None:
        if self.is_closed:
            socket.close()
            return
        socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        self._duplex = Duplex(
            socket,
            poller,
            self._handle_data,
            self.drop,
            on_drained=self._large_calls.pump,
        )
        self._last_received_at = self._connected_at = trio.current_time()
        self._write(PREAMBLE)
        self._send_held_calls(
            [n for n, (call, _) in self._held_calls.items() if call.is_idempotent]
        )
        if self._held_calls:
            # The kernel accepts connections for a process that is paused.
            self._ping()

    def _is_responding(self, call: RoutedCall, now: float) -> bool:
        """Return whether the peer has responded recently enough for a call."""
        if call.is_idempotent:
            return now - self._pinged_at <= MAX_PONG_DELAY_S
        return now - self._last_heard_at <= MAX_PEER_AGE_S

    def _hold(self, call: RoutedCall, now: float) -> None:
        self._held_calls[call.number] = call, now

    def _send_held_calls(self, numbers: list[CallNumber]) -> None:
        """Send held calls with the time that is left of each; return the others."""
        now = current_time()
        expired, refused = [], []
        for number in numbers:
            call, held_since = self._held_calls[number]
            left_ms = call.remaining_ms - int((now - held_since) * 1000)
            if not self._may_send(number):
                refused.append(number)
            elif left_ms > 0:
                del self._held_calls[number]
                self._send_call(replace(call, remaining_ms=left_ms))
            else:
                expired.append(number)
        self._return_held_calls(expired, "no time was left once the peer responded")
        self._return_held_calls(refused, "the request may no longer be sent")

    def _ping(self) -> None:
        if self._pinged_at == math.inf:
            self._pinged_at = current_time()
            self._write(PING_FRAME)

    def _send_call(self, call: RoutedCall) -> None:
        data = encode_call(call)
        if len(data) > LARGE_BYTES:
            self._pending_calls[call.number] = math.inf
            self._large_calls.send(
                call.number, data, lambda: self._record_sent(call.number)
            )
        else:
            self._write(pack_frame(FrameType.CALL, data))
            self._record_sent(call.number)

    def _record_sent(self, number: CallNumber) -> None:
        self._pending_calls[number] = self._stream_bytes

    def _send_granted(self, number: CallNumber) -> None:
        """Send the rest of a large call, unless it may no longer be sent."""
        if number not in self._pending_calls:
            return
        if self._may_send(number):
            self._large_calls.grant(number)
            return
        self.cancel(number)
        detail = "the request may no longer be sent"
        self._reply_handler.handle_link_failure(number, Ran.NO, detail)

    def _write(self, data: bytes) -> None:
        self._stream_bytes += len(data)
        self._duplex.send(data)

    def _return_held_calls(self, numbers: list[CallNumber], reason: str) -> None:
        for number in numbers:
            del self._held_calls[number]
            del self._pending_calls[number]
        for number in numbers:
            self._reply_handler.handle_link_failure(number, Ran.NO, reason)

    def _handle_data(self, data: bytes) -> None:
        self._last_received_at = self._last_heard_at = current_time()
        self._pinged_at = math.inf
        if self._held_calls:
            self._send_held_calls(list(self._held_calls))
        try:
            for kind, payload in self._reader.feed(data):
                if kind == FrameType.REPLY:
                    self._handle_reply(decode_reply(payload))
                elif kind == FrameType.PART:
                    message = self._large_replies.add(payload)
                    if message is not None:
                        self._handle_large_reply(message)
                elif kind == FrameType.GRANT:
                    self._send_granted(CALL_NUMBER.unpack(payload)[0])
                elif kind == FrameType.STOPPED:
                    (self._read_position,) = STREAM_POSITION.unpack(payload)
                    self.drop("the peer stops")
        except CallFrameError as error:
            self.drop(str(error))

    def _handle_reply(self, reply: RoutedReply) -> None:
        if reply.number in self._pending_calls:
            del self._pending_calls[reply.number]
            self._large_calls.cancel(reply.number)
            self._reply_handler.handle_reply(reply)

    def _handle_large_reply(self, message: LongMessage) -> None:
        try:
            self._handle_reply(decode_reply(message.data))
        finally:
            # The answer is counted with its caller's connection now.
            message.reservation.release()

    def _close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._large_replies.close()
        sent_bytes = 0
        if self._duplex is not None:
            self._duplex.close()
            sent_bytes = min(self._duplex.sent_bytes, self._read_position)
        not_sent = len(self._held_calls)
        self._return_held_calls(list(self._held_calls), self.close_reason)
        calls = dict(self._pending_calls)
        self._pending_calls.clear()
        # A peer handles whole frames only.
        unsent = sum(end > sent_bytes for end in calls.values())
        if calls or self._duplex is None:
            self._log.emit(
                Event.LINK_LOST,
                peer=str(self.address),
                reason=self.close_reason,
                calls=len(calls) - unsent,
                not_sent=not_sent + unsent,
            )
        for number, end in calls.items():
            ran = Ran.NO if end > sent_bytes else Ran.UNKNOWN
            self._reply_handler.handle_link_failure(number, ran, self.close_reason)
