"""Check that a released slot is used by others and reacquired in turn."""

import trio
from returns.result import Failure, Success

from persimmonhall.admission.admission import Admission, AdmissionRequest
from persimmonhall.admission.messages import Outcome, RequestKind
from persimmonhall.admission.slot import AdmittedSlot
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.ids import RootId

KIND = RequestKind("POST /publish")
LEAVING_REFUSAL = refuse(ErrorKind.LEAVING, "leaving")


async def admit(admission: Admission, root: str, refusal=None) -> AdmittedSlot:
    """Admit one request."""
    request = AdmissionRequest(
        RootId(root), Worth.CUSTOMER, 0, KIND, trio.current_time() + 10
    )
    admitted = await admission.admit(request)
    return AdmittedSlot(admission, request, admitted.unwrap(), lambda: refusal)


async def test_other_request_uses_the_released_slot(autojump_clock):
    admission = Admission()
    admission.set_slots(1, is_cold=False)
    first = await admit(admission, "first")
    first.release()
    assert admission.core.in_flight == 0
    other = await admit(admission, "other")

    async def end_other() -> None:
        await trio.sleep(1)
        other.finish(Outcome.DONE)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_other)
        assert await first.reacquire() == Success(None)
    assert trio.current_time() >= 1
    assert admission.core.in_flight == 1
    first.finish(Outcome.DONE)
    assert admission.core.in_flight == 0


async def test_wait_without_a_slot_is_not_service_time(autojump_clock):
    admission = Admission()
    slot = await admit(admission, "first")
    slot.release()
    await trio.sleep(5)
    await slot.reacquire()
    slot.mark_sent()
    await trio.sleep(0.25)
    slot.finish(Outcome.DONE)
    assert 0.2 < slot.run_s < 0.3


async def test_slot_is_not_reacquired_once_the_gate_is_closed(autojump_clock):
    admission = Admission()
    slot = await admit(admission, "first", LEAVING_REFUSAL)
    assert await slot.reacquire() == Success(None)
    slot.release()
    assert await slot.reacquire() == Failure(LEAVING_REFUSAL)
    slot.finish(Outcome.NOT_RUN)
    assert admission.core.in_flight == 0
