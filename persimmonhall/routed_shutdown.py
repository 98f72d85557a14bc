"""Shut down a node of routes while callers and peers still use it."""

import trio

from persimmonhall.call.routed_entry import RoutedEntry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.http.caller_server import CallerServer
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.process_pauses import BACKLOG_READ_S, ProcessPauses
from persimmonhall.wire.call_server import CallServer

CHECK_INTERVAL_S = 0.1
# Fractions of the grace period. After the first, peers are told to send no more calls;
# until then callers still send requests here too, so the backend server has work. The
# gate refuses new calls of peers after the second. Callers are served up to the third,
# or the fourth while the backend server is at work. Open requests are awaited up to the
# fourth; those that remain are refused. Answers that callers are still reading are sent
# up to the fifth.
PEER_NOTICE_FRACTION = 0.4
GATE_CLOSE_FRACTION = 0.45
CALLER_CLOSE_FRACTION = 0.75
REQUEST_END_FRACTION = 0.88
ANSWER_END_FRACTION = 0.96
# Callers leave after two failed readiness checks, which are one second apart.
CALLER_NOTICE_S = 2.5
# Callers know of the shutdown by now: a later request is passed on only if its deadline
# comes before the end.
LATE_REQUEST_S = 2.8
# Callers that have sent no request for this long have left.
CALLER_IDLE_S = 0.5


async def shut_down_gracefully(
    callers: CallerServer,
    entry: RoutedEntry,
    gate: RoutedGate,
    calls: CallServer,
    gossiper: Gossiper,
    window: ShutdownWindow,
    grace_s: float,
    pauses: ProcessPauses,
) -> None:
    """Serve callers as long as they come, then refuse what is left.

    The grace period has begun with the signal, which may be read late.
    """
    start = trio.current_time()
    start -= pauses.input_age_s(start)
    callers.is_draining = True
    window.set(start + LATE_REQUEST_S, start + REQUEST_END_FRACTION * grace_s)
    await trio.sleep_until(start + PEER_NOTICE_FRACTION * grace_s)
    gossiper.announce_draining()
    await trio.sleep_until(start + GATE_CLOSE_FRACTION * grace_s)
    gate.drain()
    while (now := trio.current_time()) < start + REQUEST_END_FRACTION * grace_s:
        idle_s = now - max(start + CALLER_NOTICE_S, entry.last_request_at)
        have_callers_left = idle_s > CALLER_IDLE_S and not entry.in_flight
        is_over = now >= start + CALLER_CLOSE_FRACTION * grace_s
        # What runs on the backend server may still make calls of its own.
        if gate.is_idle and (have_callers_left or is_over):
            break
        await trio.sleep(CHECK_INTERVAL_S)
    callers.stop_accepting()
    callers.close_idle()
    while trio.current_time() < start + REQUEST_END_FRACTION * grace_s:
        if gate.is_idle and callers.is_idle and not calls.queued_bytes:
            break
        await trio.sleep(CHECK_INTERVAL_S)
    if pauses.input_age_s(trio.current_time()):
        # Answers may have arrived while this process was paused.
        await trio.sleep(BACKLOG_READ_S)
    entry.refuse_waiting()
    calls.stop()
    gossiper.announce_left()
    await trio.sleep(CHECK_INTERVAL_S)
    answers_end_at = start + ANSWER_END_FRACTION * grace_s
    while callers.has_unsent_answers and trio.current_time() < answers_end_at:
        await trio.sleep(CHECK_INTERVAL_S)
