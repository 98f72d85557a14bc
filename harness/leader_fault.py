"""Kill or freeze the leader of the control VMs and bring it back."""

from dataclasses import dataclass

import trio

from harness.system import System


@dataclass(frozen=True)
class LeaderOutage:
    """Record when the leader was lost and when a new one was seen."""

    lost_at: float
    new_leader_at: float


async def disrupt_leader(
    system: System, leader: str, fault: str, min_outage_s: float
) -> LeaderOutage:
    """Kill or freeze the leader for a minimum time and until another one leads."""
    running = system.control[leader]
    if fault == "killed":
        running.kill()
    else:
        running.suspend()
    lost_at = trio.current_time()
    await system.wait_for_leader(leader)
    new_leader_at = trio.current_time()
    await trio.sleep_until(lost_at + min_outage_s)
    if fault == "killed":
        await system.restart_control(leader)
    else:
        running.resume()
    return LeaderOutage(lost_at, new_leader_at)
