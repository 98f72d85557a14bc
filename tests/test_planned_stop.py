"""Stop a node with real processes while callers go on to send to it."""

import pytest

from harness.planned_stop import Options, run_seed


# Calls were broken off and answered with 502 while their server was at work.
@pytest.mark.parametrize(
    ("seed", "options"),
    [
        (1, Options(grace_s=6.0)),
        (2, Options(grace_s=3.0, slow_factor=4.0)),
        (3, Options(grace_s=3.0, has_server=False)),
        (4, Options(grace_s=4.0, slow_factor=3.0, has_lag=True)),
    ],
    ids=["usual", "servers turn slow", "server has left", "node lags"],
)
async def test_node_that_stops_answers_all_that_it_has_passed_on(
    tmp_path, seed, options
):
    """Orders and reads, late ones too, with calls of their own, on all connections."""
    record = await run_seed(tmp_path, seed, options)
    assert record.violations(options) == []
    counts = record.counts()
    assert counts["answered 200"]
    assert counts["answered 503"]
