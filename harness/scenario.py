"""Run a trigger between two phases of normal load and summarise it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from harness.system import System
from persimmonhall.load.load_generator import LoadGenerator
from persimmonhall.load.report import PERCENTILES, Report, Sample
from persimmonhall.load.settings import LoadSettings, PhaseSection

PHASES = ("before", "trigger", "after")

TriggerAction = Callable[[System], Awaitable[None]]


@dataclass(frozen=True)
class Trigger:
    """Describe a disturbance: a load factor and actions at its begin and end."""

    name: str
    factor: float = 1.0
    begin: TriggerAction | None = None
    end: TriggerAction | None = None


@dataclass(frozen=True)
class PhaseDurations:
    """Set the durations of the phases before, during and after the trigger."""

    before_s: float
    trigger_s: float
    after_s: float

    def phases(self, load_factor: float) -> tuple[PhaseSection, ...]:
        """Return the load phases, with a load factor during the trigger."""
        return (
            PhaseSection("before", self.before_s),
            PhaseSection("trigger", self.trigger_s, load_factor),
            PhaseSection("after", self.after_s),
        )


@dataclass(frozen=True)
class Figures:
    """Summarise a trigger; goodput is successful answers per second."""

    trigger: str
    offered_per_s: float
    goodput_per_s: float
    good_share: dict[str, float]
    before_share: float
    after_share: float
    recovery_s: float
    executions_per_good: float
    latency_ms: dict[str, float]


async def run_trigger(
    system: System,
    trigger: Trigger,
    timing: PhaseDurations,
    settings: LoadSettings,
    on_sample: Callable[[Sample], None] | None = None,
) -> Figures:
    """Run one trigger under load."""
    started = await count_executions(system)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_apply_trigger, system, trigger, timing)
        report = await LoadGenerator(settings, on_sample).run()
    return _make_figures(
        trigger, timing, report, await count_executions(system) - started
    )


async def count_executions(system: System) -> int:
    """Return how many requests all backend servers have started."""
    counts = [await system.counts(node) for node in system.backends]
    return sum(count["started"] for count in counts)


async def _apply_trigger(
    system: System, trigger: Trigger, timing: PhaseDurations
) -> None:
    await trio.sleep(timing.before_s)
    if trigger.begin is not None:
        await trigger.begin(system)
    await trio.sleep(timing.trigger_s)
    if trigger.end is not None:
        await trigger.end(system)


def _make_figures(
    trigger: Trigger, timing: PhaseDurations, report: Report, executed: int
) -> Figures:
    sent = {phase: report.total(phase).sent for phase in PHASES}
    good = {phase: report.total(phase).good for phase in PHASES}
    histogram = report.total("trigger").histogram
    before = (0.0, timing.before_s)
    return Figures(
        trigger=trigger.name,
        offered_per_s=sent["trigger"] / timing.trigger_s,
        goodput_per_s=good["trigger"] / timing.trigger_s,
        good_share=report.good_fractions("trigger"),
        before_share=good["before"] / max(1, sent["before"]),
        after_share=good["after"] / max(1, sent["after"]),
        recovery_s=report.recovery_s(before, timing.before_s + timing.trigger_s),
        executions_per_good=executed / max(1, sum(good.values())),
        latency_ms={
            name: histogram.get_value_at_percentile(percentile) / 1000
            for name, percentile in PERCENTILES.items()
        },
    )
