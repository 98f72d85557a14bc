"""Check that servers which state a rate limit get no more, at no cost to callers."""

import pytest
import trio

from persimmonhall.call.tests.routed_fleet import RoutedFleet

# The users' bound: in any window, 1.5 times what the limit allows and 5 requests, from
# 3 s after the limit was first stated.
WINDOW_S = 4.0
REACTION_S = 3.0


def max_allowed(limit):
    """Return how many requests a server may get in a window."""
    return 1.5 * limit * WINDOW_S + 5


async def run_with_limits(fleet, limits, rate, length_s=10.0):
    """Send a steady load; the first servers state limits after a second."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await fleet.send_load(rate, 1.0)
        stated_at = trio.current_time()
        for server, limit in zip(fleet.servers, limits, strict=False):
            server.state_limit(limit)
        await fleet.send_load(rate, length_s)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    return stated_at


# A server that asked for 23.1 requests a second got 91, as from all its callers before.
@pytest.mark.parametrize(("limit", "zones"), [(23.1, 1), (23.1, 4), (2.0, 1), (0.0, 1)])
async def test_server_gets_no_more_than_the_rate_that_it_states(
    autojump_clock, limit, zones
):
    """Send the rest to servers without a limit, which have room: all are served."""
    fleet = RoutedFleet(zones=zones)
    stated_at = await run_with_limits(fleet, [limit], rate=400)
    assert fleet.servers[0].max_arrivals(
        stated_at + REACTION_S, WINDOW_S
    ) <= max_allowed(limit)
    assert fleet.served == len(fleet.exchanges)
