"""Check which requests a stopping node of documents still passes on."""

import trio

from persimmonhall.call.tests.call_tree import DEADLINE_S, CallTreeModel, Fault


# A request that came late in a drain was cut off with the caller's connection.
async def test_request_that_may_outlive_a_drain_is_refused(autojump_clock):
    """Refuse it as not run, unless its deadline comes before the end."""
    model = CallTreeModel(1, select_fault=lambda path, node: Fault.NONE)
    now = trio.current_time()
    model.shutdown.set(now, now + DEADLINE_S / 2)
    answer = await model.send()
    assert answer.status == 503
    assert (b"persimmonhall-ran", b"no") in answer.headers
    assert not model.calls
    model.shutdown.set(now, now + DEADLINE_S * 2)
    assert (await model.send()).status == 200
