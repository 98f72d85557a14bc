"""Serve the calls that other nodes send over their links."""

import socket as sockets
from collections.abc import Callable
from typing import Protocol

from persimmonhall.event_time import current_time
from persimmonhall.ids import CallNumber
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    PREAMBLE,
    STREAM_POSITION,
    CallFrameError,
    CallFrameReader,
    FrameType,
    RoutedCall,
    RoutedReply,
    decode_call,
    encode_reply,
    pack_frame,
)
from persimmonhall.wire.duplex import Duplex
from persimmonhall.wire.long_frames import LongFrameReceiver, LongFrameSender
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import (
    LARGE_BYTES,
    Reservation,
    TransferBudget,
)

PONG_FRAME = pack_frame(FrameType.PONG)


class CallHandler(Protocol):
    """Run the calls of other nodes."""

    def begin(
        self,
        origin: object,
        call: RoutedCall,
        reply: Callable[[RoutedReply], None],
    ) -> None:
        """Start a call; origin and number identify it."""

    def cancel(self, origin: object, number: CallNumber) -> None:
        """Cancel a call whose reply is no longer needed."""

    def cancel_all(self, origin: object) -> None:
        """Cancel all calls of an origin whose connection has ended."""


class CallServerConnection:
    """Pass the calls of one incoming link to the handler and send its replies."""

    def __init__(
        self,
        socket: sockets.socket,
        poller: Poller,
        handler: CallHandler,
        pauses: ProcessPauses,
        on_closed: Callable[["CallServerConnection"], None] = lambda connection: None,
        budget: TransferBudget | None = None,
    ):
        self._handler = handler
        self._pauses = pauses
        self._on_closed = on_closed
        self._is_stopped = False
        self._reader = CallFrameReader()
        # An entry that has closed its link has given up the calls that are unread.
        self._duplex = duplex = Duplex(
            socket,
            poller,
            self._on_data,
            self._on_end,
            should_discard_at_end=True,
            on_drained=self._on_drained,
        )
        self._large_replies = LongFrameSender(
            FrameType.REPLY, duplex.send, lambda: duplex.unsent_bytes
        )
        self._large_calls = LongFrameReceiver(
            FrameType.CALL, duplex.send, budget or TransferBudget()
        )
        # Room of the calls that are not replied to.
        self._reservations: dict[CallNumber, Reservation] = {}

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of large replies that are not sent in full."""
        return self._large_replies.queued_bytes

    def stop(self) -> None:
        """Handle no more frames, and tell the entry which ones were handled."""
        self._is_stopped = True
        position = STREAM_POSITION.pack(len(PREAMBLE) + self._reader.position)
        self._duplex.send(pack_frame(FrameType.STOPPED, position))

    def _on_data(self, data: bytes) -> None:
        try:
            frames = self._reader.feed(data)
            if self._is_stopped:
                # Read all the same: closing with unread data would discard what was
                # sent. Replies may still be granted.
                frames = [frame for frame in frames if frame[0] == FrameType.GRANT]
            cancelled = {
                payload[: CALL_NUMBER.size]
                for kind, payload in frames
                if kind == FrameType.CANCEL
            }
            for kind, payload in frames:
                # A call that is cancelled already must not reach the server.
                if kind != FrameType.CALL or (
                    payload[: CALL_NUMBER.size] not in cancelled
                ):
                    self._handle_frame(kind, payload)
        except CallFrameError as error:
            self._duplex.close()
            self._on_end(str(error))

    def _on_end(self, reason: str) -> None:
        self._on_closed(self)
        self._large_calls.close()
        self._handler.cancel_all(self)
        for reservation in self._reservations.values():
            reservation.release()
        self._reservations.clear()

    def _handle_frame(self, kind: int, payload: bytes) -> None:
        if kind == FrameType.CALL:
            self._begin(decode_call(payload), 0.0)
        elif kind == FrameType.CANCEL:
            (number,) = CALL_NUMBER.unpack(payload)
            self._large_calls.cancel(number)
            self._large_replies.cancel(number)
            self._handler.cancel(self, number)
            self._release(number)
        elif kind == FrameType.PING:
            self._duplex.send(PONG_FRAME)
        elif kind == FrameType.PART:
            message = self._large_calls.add(payload)
            if message is not None:
                self._reservations[message.number] = message.reservation
                call, age_s = decode_call(message.data), message.age_s
                # The call has a copy of the body.
                del message, payload
                self._begin(call, age_s)
        elif kind == FrameType.GRANT:
            self._large_replies.grant(CALL_NUMBER.unpack(payload)[0])

    def _begin(self, call: RoutedCall, age_s: float) -> None:
        # The time that the caller had left ran on while this process was paused.
        age_s += self._pauses.input_age_s(current_time())
        call.remaining_ms = max(0, call.remaining_ms - int(age_s * 1000))
        self._handler.begin(self, call, self._send_reply)

    def _send_reply(self, reply: RoutedReply) -> None:
        self._release(reply.number)
        data = encode_reply(reply)
        if len(data) > LARGE_BYTES:
            self._large_replies.send(reply.number, data)
        else:
            self._duplex.send(pack_frame(FrameType.REPLY, data))

    def _release(self, number: CallNumber) -> None:
        """Free the room of a call, whose body is no longer needed."""
        reservation = self._reservations.pop(number, None)
        if reservation is not None:
            reservation.release()

    def _on_drained(self) -> None:
        self._large_replies.pump()


class CallServer:
    """Serve calls on incoming connections."""

    def __init__(
        self,
        poller: Poller,
        handler: CallHandler,
        pauses: ProcessPauses | None = None,
        budget: TransferBudget | None = None,
    ):
        self._poller = poller
        self._handler = handler
        self._pauses = pauses or ProcessPauses()
        self._budget = budget or TransferBudget()
        self._connections: set[CallServerConnection] = set()

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of large replies that are not sent in full."""
        return sum(connection.queued_bytes for connection in self._connections)

    def serve_connection(self, socket: sockets.socket) -> None:
        """Serve a connection whose preamble has been read."""
        socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        self._connections.add(
            CallServerConnection(
                socket,
                self._poller,
                self._handler,
                self._pauses,
                self._connections.discard,
                self._budget,
            )
        )

    def stop(self) -> None:
        """Handle no more calls; their entries send them elsewhere as not run."""
        for connection in tuple(self._connections):
            connection.stop()
