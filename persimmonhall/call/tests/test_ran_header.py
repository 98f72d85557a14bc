"""Check the ran header and that an entry answers at its deadline."""

import pytest
import trio

from persimmonhall.call.gate_client import NO_LOAD
from persimmonhall.call.messages import Answered, make_refused
from persimmonhall.call.tests.call_tree import DEADLINE_S, CallTreeModel
from persimmonhall.errors import ErrorKind, Ran, refuse


def _make_refused(kind: ErrorKind, ran: Ran):
    return make_refused(refuse(kind, "scripted", ran=ran), NO_LOAD)


LOST = _make_refused(ErrorKind.CONNECTION_LOST, Ran.UNKNOWN)
TRUNCATED = _make_refused(ErrorKind.ANSWER_CUT, Ran.YES)
UNREACHABLE = _make_refused(ErrorKind.CONNECT_FAILED, Ran.NO)
LEAVING = _make_refused(ErrorKind.LEAVING, Ran.NO)
FULL = _make_refused(ErrorKind.OVERLOADED, Ran.NO)
LATE = _make_refused(ErrorKind.DEADLINE_EXCEEDED, Ran.NO)
FALSE_RAN_HEADER = (b"persimmonhall-ran", b"no")
UNAVAILABLE = Answered(503, FALSE_RAN_HEADER, b"", NO_LOAD)
DONE = Answered(200, FALSE_RAN_HEADER, b"", NO_LOAD)
NO_REPLY = None

RAN_CASES = {
    "refused": ([FULL], 503, "no"),
    "refused after an attempt that did not run": ([UNREACHABLE, FULL], 503, "no"),
    "refused after a lost attempt": ([LOST, FULL], 503, "unknown"),
    "refused after a cut answer": ([TRUNCATED, FULL], 503, "unknown"),
    "no other server after a lost attempt": ([LOST, LEAVING], 503, "unknown"),
    "no other server": ([LEAVING, LEAVING], 503, "no"),
    "too late in the queue after a lost attempt": ([LOST, LATE], 504, "unknown"),
    "too late in the queue": ([LATE], 504, "no"),
    "answered after a lost attempt": ([LOST, DONE], 200, "yes"),
    "a backend server's own 503 that claims no run": ([UNAVAILABLE], 503, "unknown"),
    "an answer that claims no run": ([DONE], 200, "yes"),
    "no reply": ([NO_REPLY], 504, "unknown"),
    "no reply after an attempt that did not run": (
        [UNREACHABLE, NO_REPLY],
        504,
        "unknown",
    ),
}


class _ScriptedCallTree(CallTreeModel):
    """Reply as scripted, attempt by attempt."""

    script: list

    async def call(self, member, call, reservation):
        self.calls.append(call)
        reply = self.script[len(self.calls) - 1]
        if reply is NO_REPLY:
            await trio.sleep(2 * DEADLINE_S)
        return reply


@pytest.mark.parametrize("name", RAN_CASES)
async def test_ran_header_matches_the_attempts(name, autojump_clock):
    script, status, ran = RAN_CASES[name]
    model = _ScriptedCallTree(1)
    model.script = script
    answer = await model.send()
    assert len(model.calls) == len(script)
    assert (answer.status, answer.header(b"persimmonhall-ran")) == (status, ran)
    assert [k for k, _ in answer.headers].count(b"persimmonhall-ran") == 1


async def test_entry_answers_at_its_deadline(autojump_clock):
    model = _ScriptedCallTree(1)
    model.script = [NO_REPLY]
    start = trio.current_time()
    await model.send()
    assert trio.current_time() - start == pytest.approx(DEADLINE_S, abs=0.001)


async def test_entry_answers_at_its_deadline_while_it_asks_for_a_token(autojump_clock):
    model = _ScriptedCallTree(1)
    model.are_links_cut = True
    model.script = [LOST]
    chain = b"root=a;entry=suva-cue-1;depth=1;worth=internal;remaining=50"
    start = trio.current_time()
    answer = await model.send(chain=chain)
    assert answer.header(b"persimmonhall-ran") == "unknown"
    assert trio.current_time() - start == pytest.approx(0.05, abs=0.001)


LOCAL_EXECUTION_CHAIN = (
    b"root=a;entry=x;depth=1;worth=internal;remaining=9000;execution=e"
)


async def test_call_of_a_run_gets_no_more_time_than_the_run_has(autojump_clock):
    model = _ScriptedCallTree(1)
    model.script = [DONE]
    with model.executions.track("e", trio.current_time() + 0.2):
        await trio.sleep(0.05)
        await model.send(chain=LOCAL_EXECUTION_CHAIN)
    assert model.calls[0].remaining_ms == pytest.approx(150, abs=2)


async def test_call_of_a_cancelled_run_is_not_made(autojump_clock):
    model = _ScriptedCallTree(1)
    with trio.move_on_after(0.1), model.executions.track("e", 1e9):
        await trio.sleep_forever()
    answer = await model.send(chain=LOCAL_EXECUTION_CHAIN)
    assert (answer.status, answer.header(b"persimmonhall-ran")) == (504, "no")
    assert model.calls == []


async def test_call_of_a_completed_run_is_made(autojump_clock):
    model = _ScriptedCallTree(1)
    model.script = [DONE]
    with model.executions.track("e", 1e9):
        pass
    assert (await model.send(chain=LOCAL_EXECUTION_CHAIN)).status == 200


async def test_abandoned_call_counts_as_a_failure(autojump_clock):
    model = CallTreeModel(1, retries=0)
    chain = b"root=a;entry=x;depth=0;worth=internal;remaining=9000;execution=e"
    scripted = _ScriptedCallTree(1)
    scripted.script = [NO_REPLY, DONE]
    with trio.move_on_after(1):
        await scripted.send(chain=chain)
    answer = await scripted.send(chain=chain)
    assert (answer.status, len(scripted.calls)) == (503, 1)
    assert model.calls == []
