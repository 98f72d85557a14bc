"""Measure which rate of keyed requests the claim table can hold.

Time is the log's own clock: it advances by ticks, without real waiting.
"""

import json
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from persimmonhall.ids import (
    ClaimId,
    Fingerprint,
    IdempotencyKey,
    NodeName,
    ServiceName,
)
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.log_clock import TICK_INTERVAL_S
from persimmonhall.once.messages import (
    ClaimKey,
    ClaimOutcome,
    ClaimState,
    ElapseTime,
    FinishKey,
    KeptAnswer,
)

RESEND_WINDOWS_S = (24 * 3600, 600, 300)
RATES_PER_S = (2, 100, 400, 650)
RUN_LENGTH_WINDOWS = 1.5
ANSWER = KeptAnswer(200, (), bytes(200), 200, 1, whole=True)
RESULT = Path("results/claim_rate.json")


@dataclass(frozen=True)
class Row:
    """Store the result of one request rate and resend window."""

    window_s: int
    per_s: int
    seconds: int
    most_held: int
    full: bool
    us_per_request: float


def run_rate(window_s: int, per_s: int) -> Row:
    """Claim and finish keys until the first ones expire or the table is full."""
    table = ClaimTable()
    most_held = number = 0
    full = False
    begin = time.perf_counter()
    while number < RUN_LENGTH_WINDOWS * window_s * per_s and not full:
        for _ in range(int(per_s * TICK_INTERVAL_S)):
            number += 1
            claim = _make_claim(number, window_s)
            full = table.claim(claim).outcome is ClaimOutcome.FULL
            if full:
                break
            table.finish(_make_finish(claim))
        most_held = max(most_held, table.count)
        table.advance_clock(ElapseTime(int(TICK_INTERVAL_S * 1000)))
    spent_s = time.perf_counter() - begin
    return Row(
        window_s=window_s,
        per_s=per_s,
        seconds=number // per_s,
        most_held=most_held,
        full=full,
        us_per_request=round(spent_s / number * 1e6, 1),
    )


def _make_claim(number: int, window_s: int) -> ClaimKey:
    return ClaimKey(
        claim=ClaimId(f"suva-cue-1/1796336209451/{number}"),
        service=ServiceName("cue"),
        key=IdempotencyKey(f"caller:7f3c5df9-13e8-4f3c-9df9-{number:012}"),
        fingerprint=Fingerprint(number),
        holder=NodeName("suva-cue-1"),
        incarnation=1796336209451,
        keep_ms=window_s * 1000,
    )


def _make_finish(claim: ClaimKey) -> FinishKey:
    state = ClaimState.FINISHED
    return FinishKey(claim.claim, claim.service, claim.key, state, ANSWER)


def main() -> int:
    """Print and save a row per resend window and rate."""
    rows = [
        run_rate(window, rate) for window in RESEND_WINDOWS_S for rate in RATES_PER_S
    ]
    for row in rows:
        print("  ".join(f"{k}={v}" for k, v in asdict(row).items()))
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
