"""Client of the control VMs, used by nodes."""

from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import (
    COMMAND_REPLIES,
    COMMANDS,
    REPLIES,
    REQUESTS,
    Command,
    CommandReply,
    Declined,
    Documents,
    FetchDocuments,
    Submit,
    Submitted,
)
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

FETCH_TIMEOUT_S = 1.5
SUBMIT_TIMEOUT_S = 5.0
# The hedge delay is this, or HEDGE_DELAY_FACTOR mean response times if that is longer.
MIN_HEDGE_DELAY_S = 0.35
RETRY_DELAY_S = 0.02
MAX_CONCURRENT_REQUESTS = 2
HEDGE_DELAY_FACTOR = 2
RESPONSE_TIME_WEIGHT = 0.5


class ControlClient:
    """Try the control VMs in turn, starting with the last one that answered."""

    def __init__(self, links: LinkPool, addresses: tuple[Address, ...]):
        self._links = links
        self._addresses = list(addresses)
        self._response_time_s = 0.0

    async def fetch_documents(self, after: LogIndex) -> Result[Documents, Refusal]:
        """Return the documents after an index, from an up-to-date VM if possible."""
        payload = REQUESTS.encode(FetchDocuments(after))
        outdated: Result[Documents, Refusal] | None = None
        result = _no_control_vm()
        for address in tuple(self._addresses):
            result = await self._send_with_timeout(address, payload, FETCH_TIMEOUT_S)
            match result:
                case Success(Documents(current=True)):
                    self._move_to_front(address)
                    return result
                case Success():
                    outdated = result
        return outdated or result

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Append a command to the log and return its reply."""
        payload = REQUESTS.encode(Submit(COMMANDS.encode(command)))
        refusal = _no_control_vm().failure()
        for address in tuple(self._addresses):
            match await self._send_with_timeout(address, payload, SUBMIT_TIMEOUT_S):
                case Success(reply):
                    self._move_to_front(address)
                    return Success(COMMAND_REPLIES.decode(reply.reply))
                case Failure(refusal):
                    if refusal.ran is not Ran.NO:
                        break
        return Failure(refusal)

    async def submit_hedged(
        self, command: Command, on_delay: Callable[[], None]
    ) -> Result[CommandReply, Refusal]:
        """Submit an idempotent command, with hedged requests to further control VMs.

        The hedge delay follows the recent response times, as more requests would
        only make slow control VMs slower. A request that may have been lost is
        retried; the caller limits the total time.
        """
        payload = REQUESTS.encode(Submit(COMMANDS.encode(command)))
        submission = _HedgedSubmission(on_delay)
        async with trio.open_nursery() as nursery:
            for address in tuple(self._addresses):
                submission.in_flight += 1
                nursery.start_soon(
                    self._send_until_answered, address, payload, submission
                )
                await self._wait_for_hedge_delay(address, submission)
                await submission.wait_for_in_flight_below(MAX_CONCURRENT_REQUESTS)
                if submission.reply is not None:
                    break
            await submission.wait_for_in_flight_below(1)
            nursery.cancel_scope.cancel()
        if submission.reply is None:
            return Failure(submission.refusal)
        return Success(COMMAND_REPLIES.decode(submission.reply.reply))

    async def _wait_for_hedge_delay(
        self, address: Address, submission: "_HedgedSubmission"
    ) -> None:
        """Wait until a request ends or the hedge delay of its control VM is over."""
        if await submission.wait_for_result(MIN_HEDGE_DELAY_S):
            return
        submission.on_delay()
        extra_delay_s = HEDGE_DELAY_FACTOR * self._response_time_s - MIN_HEDGE_DELAY_S
        if extra_delay_s <= 0 or not await submission.wait_for_result(extra_delay_s):
            self._move_to_back(address)

    async def _send_until_answered(
        self, address: Address, payload: bytes, submission: "_HedgedSubmission"
    ) -> None:
        while True:
            started_at = trio.current_time()
            match await self._send_request(address, payload):
                case Success(reply):
                    response_time_s = trio.current_time() - started_at
                    self._response_time_s += RESPONSE_TIME_WEIGHT * (
                        response_time_s - self._response_time_s
                    )
                    self._move_to_front(address)
                    submission.set_reply(reply)
                    return
                case Failure(refusal) if refusal.ran is Ran.NO:
                    self._move_to_back(address)
                    submission.add_failure(refusal)
                    return
            submission.on_delay()
            await trio.sleep(RETRY_DELAY_S)

    async def _send_with_timeout(
        self, address: Address, payload: bytes, timeout_s: float
    ) -> Result:
        self._move_to_back(address)
        with trio.move_on_after(timeout_s):
            return await self._send_request(address, payload)
        self._links.reset(address)
        detail = f"the request to {address} timed out"
        return Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=Ran.UNKNOWN))

    async def _send_request(self, address: Address, payload: bytes) -> Result:
        match await self._links.request(address, Channel.CONTROL, payload):
            case Success(data):
                return _reply_to_result(REPLIES.decode(data))
            case Failure(error):
                return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=error.ran))

    def _move_to_front(self, address: Address) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _move_to_back(self, address: Address) -> None:
        # A control VM stays last until it answers, even if the request is cancelled.
        self._addresses.remove(address)
        self._addresses.append(address)


class _HedgedSubmission:
    """Collect the results of the concurrent requests for one command."""

    def __init__(self, on_delay: Callable[[], None]):
        self.on_delay = on_delay
        self.in_flight = 0
        self.reply: Submitted | None = None
        self.refusal: Refusal = _no_control_vm().failure()
        self._changed = trio.Event()

    async def wait_for_result(self, timeout_s: float) -> bool:
        """Return whether a request ended within the timeout."""
        with trio.move_on_after(timeout_s) as scope:
            await self._changed.wait()
        return not scope.cancelled_caught

    async def wait_for_in_flight_below(self, count: int) -> None:
        """Wait for a reply, or until fewer requests than a count are in flight."""
        while self.reply is None and self.in_flight >= count:
            await self._changed.wait()

    def set_reply(self, reply: Submitted) -> None:
        """Record the reply."""
        self.reply = reply
        self._notify()

    def add_failure(self, refusal: Refusal) -> None:
        """Record that one request failed."""
        self.in_flight -= 1
        self.refusal = refusal
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _no_control_vm() -> Result:
    return Failure(refuse(ErrorKind.NO_QUORUM, "no control VM is configured"))


def _reply_to_result(reply: Documents | Submitted | Declined) -> Result:
    if isinstance(reply, Declined):
        return Failure(refuse(reply.kind, reply.detail, ran=reply.ran))
    return Success(reply)
