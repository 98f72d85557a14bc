"""Client of the control VMs, used by nodes."""

from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.messages import (
    ASKS,
    COMMAND_REPLIES,
    COMMANDS,
    REPLIES,
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

TRY_TIMEOUT_S = 1.5
SUBMIT_TIMEOUT_S = 5.0
SILENCE_S = 0.35
RESEND_PAUSE_S = 0.02
MAX_OPEN_ASKS = 2
SILENT_ANSWERS = 2
ANSWER_GAIN = 0.5


class ControlClient:
    """Try the control VMs in turn, starting with the last one that answered."""

    def __init__(self, links: LinkPool, addresses: tuple[Address, ...]):
        self._links = links
        self._addresses = list(addresses)
        self._answer_s = 0.0

    async def fetch_documents(self, after: LogIndex) -> Result[Documents, Refusal]:
        """Return the documents after an index, from an up-to-date VM if possible."""
        payload = ASKS.encode(FetchDocuments(after))
        outdated: Result[Documents, Refusal] | None = None
        result = _no_control()
        for address in tuple(self._addresses):
            result = await self._try(address, payload, TRY_TIMEOUT_S)
            match result:
                case Success(Documents(current=True)):
                    self._prefer(address)
                    return result
                case Success():
                    outdated = result
        return outdated or result

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Append a command to the log and return its reply."""
        payload = ASKS.encode(Submit(COMMANDS.encode(command)))
        refusal = _no_control().failure()
        for address in tuple(self._addresses):
            match await self._try(address, payload, SUBMIT_TIMEOUT_S):
                case Success(reply):
                    self._prefer(address)
                    return Success(COMMAND_REPLIES.decode(reply.reply))
                case Failure(refusal):
                    if refusal.ran is not Ran.NO:
                        break
        return Failure(refusal)

    async def submit_widely(
        self, command: Command, on_delay: Callable[[], None]
    ) -> Result[CommandReply, Refusal]:
        """Submit an idempotent command, with hedged requests to further control VMs.

        The hedge delay follows the recent response times, as more requests would
        only make slow control VMs slower. A request that may have been lost is
        retried; the caller limits the total time.
        """
        payload = ASKS.encode(Submit(COMMANDS.encode(command)))
        asking = _Asking(on_delay)
        async with trio.open_nursery() as nursery:
            for address in tuple(self._addresses):
                asking.under_way += 1
                nursery.start_soon(self._ask_until_settled, address, payload, asking)
                await self._wait_for_silence(address, asking)
                await asking.wait_for_fewer(MAX_OPEN_ASKS)
                if asking.reply is not None:
                    break
            await asking.wait_for_fewer(1)
            nursery.cancel_scope.cancel()
        if asking.reply is None:
            return Failure(asking.refusal)
        return Success(COMMAND_REPLIES.decode(asking.reply.reply))

    async def _wait_for_silence(self, address: Address, asking: "_Asking") -> None:
        """Wait until a request ends or the hedge delay of its control VM is over."""
        if await asking.wait(SILENCE_S):
            return
        asking.on_delay()
        longer_s = SILENT_ANSWERS * self._answer_s - SILENCE_S
        if longer_s <= 0 or not await asking.wait(longer_s):
            self._demote(address)

    async def _ask_until_settled(
        self, address: Address, payload: bytes, asking: "_Asking"
    ) -> None:
        while True:
            begin = trio.current_time()
            match await self._ask(address, payload):
                case Success(reply):
                    took_s = trio.current_time() - begin
                    self._answer_s += ANSWER_GAIN * (took_s - self._answer_s)
                    self._prefer(address)
                    asking.finish(reply)
                    return
                case Failure(refusal) if refusal.ran is Ran.NO:
                    self._demote(address)
                    asking.fail(refusal)
                    return
            asking.on_delay()
            await trio.sleep(RESEND_PAUSE_S)

    async def _try(self, address: Address, payload: bytes, timeout_s: float) -> Result:
        self._demote(address)
        with trio.move_on_after(timeout_s):
            return await self._ask(address, payload)
        self._links.reset(address)
        detail = f"the request to {address} timed out"
        return Failure(refuse(ErrorKind.NO_QUORUM, detail, ran=Ran.UNKNOWN))

    async def _ask(self, address: Address, payload: bytes) -> Result:
        match await self._links.ask(address, Channel.CONTROL, payload):
            case Success(data):
                return _read(REPLIES.decode(data))
            case Failure(error):
                return Failure(refuse(ErrorKind.NO_QUORUM, str(error), ran=error.ran))

    def _prefer(self, address: Address) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _demote(self, address: Address) -> None:
        # A control VM stays last until it answers, even if the request is cancelled.
        self._addresses.remove(address)
        self._addresses.append(address)


class _Asking:
    """Collect the results of the concurrent requests for one command."""

    def __init__(self, on_delay: Callable[[], None]):
        self.on_delay = on_delay
        self.under_way = 0
        self.reply: Submitted | None = None
        self.refusal: Refusal = _no_control().failure()
        self._changed = trio.Event()

    async def wait(self, timeout_s: float) -> bool:
        """Return whether a request ended within the timeout."""
        with trio.move_on_after(timeout_s) as scope:
            await self._changed.wait()
        return not scope.cancelled_caught

    async def wait_for_fewer(self, count: int) -> None:
        """Wait for a reply, or until fewer requests than a count are in flight."""
        while self.reply is None and self.under_way >= count:
            await self._changed.wait()

    def finish(self, reply: Submitted) -> None:
        """Record the reply."""
        self.reply = reply
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """Record that one request failed."""
        self.under_way -= 1
        self.refusal = refusal
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _no_control() -> Result:
    return Failure(refuse(ErrorKind.NO_QUORUM, "no control VM is configured"))


def _read(reply: Documents | Submitted | Declined) -> Result:
    if isinstance(reply, Declined):
        return Failure(refuse(reply.kind, reply.detail, ran=reply.ran))
    return Success(reply)
