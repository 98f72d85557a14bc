"""Kill or freeze the leader of the control VMs and bring it back."""

from dataclasses import dataclass

import trio

from harness.system import System


@dataclass(frozen=True)
class LostLeader:
    """Record when the leader was lost and when a new one was seen."""

    lost_at: float
    led_at: float


async def lose_leader(
    system: System, leader: str, fault: str, lost_s: float
) -> LostLeader:
    """Kill or freeze the leader for a minimum time and until another one leads."""
    running = system.control[leader]
    if fault == "killed":
        running.kill()
    else:
        running.freeze()
    lost_at = trio.current_time()
    await system.wait_for_leader(leader)
    led_at = trio.current_time()
    await trio.sleep_until(lost_at + lost_s)
    if fault == "killed":
        await system.restart_control(leader)
    else:
        running.thaw()
    return LostLeader(lost_at, led_at)
