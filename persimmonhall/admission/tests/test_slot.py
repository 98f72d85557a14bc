"""Check that a released slot is used by others and reacquired in turn."""

import trio
from returns.result import Failure, Success

from persimmonhall.admission.admission import Admission, Asked
from persimmonhall.admission.messages import Outcome, RequestKind
from persimmonhall.admission.slot import AdmittedSlot
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.ids import RootId

KIND = RequestKind("POST /publish")
LEAVING = refuse(ErrorKind.LEAVING, "leaving")


async def admit(admission: Admission, root: str, refusal=None) -> AdmittedSlot:
    """Admit one request."""
    asked = Asked(RootId(root), Worth.CUSTOMER, 0, KIND, trio.current_time() + 10)
    admitted = await admission.admit(asked)
    return AdmittedSlot(admission, asked, admitted.unwrap(), lambda: refusal)


async def test_other_request_uses_the_place_meanwhile(autojump_clock):
    admission = Admission()
    admission.announce(1, cold=False)
    first = await admit(admission, "first")
    first.give_back()
    assert admission.core.in_flight == 0
    other = await admit(admission, "other")

    async def end_other() -> None:
        await trio.sleep(1)
        other.finish(Outcome.DONE)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_other)
        assert await first.take_again() == Success(None)
    assert trio.current_time() >= 1
    assert admission.core.in_flight == 1
    first.finish(Outcome.DONE)
    assert admission.core.in_flight == 0


async def test_wait_without_place_is_no_service_time(autojump_clock):
    admission = Admission()
    slot = await admit(admission, "first")
    slot.give_back()
    await trio.sleep(5)
    await slot.take_again()
    slot.begin()
    await trio.sleep(0.25)
    slot.finish(Outcome.DONE)
    assert 0.2 < slot.run_s < 0.3


async def test_place_is_not_taken_again_once_closed(autojump_clock):
    admission = Admission()
    slot = await admit(admission, "first", LEAVING)
    assert await slot.take_again() == Success(None)
    slot.give_back()
    assert await slot.take_again() == Failure(LEAVING)
    slot.finish(Outcome.NOT_RUN)
    assert admission.core.in_flight == 0
