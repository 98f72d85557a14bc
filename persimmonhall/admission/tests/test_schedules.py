"""Check the admission core in simulations with seeded random load."""

import random

import pytest

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.tests.simulation import Simulation
from persimmonhall.document.schema import Worth

SLOTS = 10
SERVICE_S = 0.1
CAPACITY = SLOTS / SERVICE_S


def steady(now: float, running: int) -> float:
    return SERVICE_S


def jittery(seed: int):
    rng = random.Random(seed)
    return lambda now, running: rng.expovariate(1 / SERVICE_S)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("factor", [0.5, 1.0, 3.0])
def test_every_ticket_gets_one_verdict_in_order_of_worth(seed, factor):
    rng = random.Random(seed)
    core = AdmissionCore(slots=rng.choice([1, 4, SLOTS]))
    run = Simulation(core, jittery(seed), rng, deadline_s=rng.choice([0.2, 2.0]))
    run.run(10.0, CAPACITY * factor, cancel_fraction=0.1)
    run.run(20.0, 0.001)
    assert core.in_flight == core.queued == 0
    assert run.refused_late == 0
    assert all(r.refusal.ran.value == "no" for r in run.refusals)
    assert all(0.5 <= r.refusal.retry_after_s <= 5.0 for r in run.refusals)


@pytest.mark.parametrize("seed", range(4))
def test_long_surge_serves_the_highest_worths_up_to_capacity(seed):
    run = Simulation(AdmissionCore(SLOTS), steady, random.Random(seed))
    run.run(5.0, CAPACITY * 0.7)
    run.sent.clear()
    run.done.clear()
    run.run(35.0, CAPACITY * 3)
    assert run.done[Worth.CRITICAL] >= run.sent[Worth.CRITICAL] * 0.99
    assert run.done[Worth.CUSTOMER] >= run.sent[Worth.CUSTOMER] * 0.97
    assert run.goodput(5.0, 35.0) >= CAPACITY * 0.95
    assert run.done[Worth.INTERNAL] <= run.sent[Worth.INTERNAL] * 0.02


@pytest.mark.parametrize("seed", range(4))
def test_goodput_is_back_within_two_seconds_of_a_surge(seed):
    run = Simulation(AdmissionCore(SLOTS), steady, random.Random(seed))
    run.run(10.0, CAPACITY * 0.7)
    run.run(20.0, CAPACITY * 3)
    run.run(30.0, CAPACITY * 0.7)
    before = run.success_fraction(2.0, 10.0)
    assert run.success_fraction(22.0, 30.0) >= before * 0.95


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("slowdown", [3, 10, 100])
def test_goodput_is_back_within_three_seconds_of_a_slow_spell(seed, slowdown):
    def slow_spell(now: float, running: int) -> float:
        return SERVICE_S * (slowdown if 10.0 <= now < 15.0 else 1)

    run = Simulation(AdmissionCore(SLOTS), slow_spell, random.Random(seed))
    run.run(30.0, CAPACITY * 0.7)
    before = run.success_fraction(2.0, 10.0)
    assert run.success_fraction(18.0, 28.0) >= before * 0.95


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("initial_slowdown", [4, 12])
@pytest.mark.parametrize("slots", [2, SLOTS])
def test_slowdown_independent_of_concurrency_costs_no_goodput(
    seed, initial_slowdown, slots
):
    def slower(now: float, running: int) -> float:
        if now < 10.0:
            return SERVICE_S
        return SERVICE_S * (initial_slowdown if now < 12.0 else 4)

    capacity = slots / SERVICE_S
    run = Simulation(AdmissionCore(slots), slower, random.Random(seed))
    run.run(40.0, capacity * 0.7)
    assert run.goodput(15.0, 40.0) >= capacity / 4 * 0.85


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("slots", [2, SLOTS])
def test_a_sudden_slow_spell_costs_no_slots(seed, slots):
    def slow_spell(now: float, running: int) -> float:
        return SERVICE_S * (4 if 10.0 <= now < 16.0 else 1)

    capacity = slots / SERVICE_S
    run = Simulation(AdmissionCore(slots), slow_spell, random.Random(seed))
    run.run(20.0, capacity * 0.9)
    assert run.goodput(10.8, 15.6) >= capacity / 4 * 0.95


@pytest.mark.parametrize("seed", range(4))
def test_overstated_slots_are_detected(seed):
    true_slots = 4

    def overstated(now: float, running: int) -> float:
        # Requests beyond the true number of slots share the capacity of these slots.
        return SERVICE_S * max(1.0, running / true_slots)

    core = AdmissionCore(slots=40)
    run = Simulation(core, overstated, random.Random(seed))
    run.run(5.0, 20.0)
    run.run(30.0, 100.0)
    assert true_slots <= core.limit <= 5 * true_slots
    assert run.goodput(10.0, 30.0) >= true_slots / SERVICE_S * 0.85
