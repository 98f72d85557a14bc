"""Test the memory limit for answers."""

import random

import pytest
import trio
import trio.testing

from persimmonhall.wire.answer_memory import AnswerMemory, AnswerReservation

LIMIT_BYTES = 100
SEEDS = range(20)


def _open_reservations(memory: AnswerMemory, count: int) -> list[AnswerReservation]:
    return [memory.open_reservation() for _ in range(count)]


async def test_answer_waits_for_room_and_gets_it_when_another_closes(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, second = _open_reservations(memory, 2)
    await first.grow_to(60)
    nursery.start_soon(second.grow_to, 60)
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == 60
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert (memory.used_bytes, memory.wait_count) == (60, 1)


async def test_oldest_answer_may_exceed_the_limit():
    memory = AnswerMemory(LIMIT_BYTES)
    [only] = _open_reservations(memory, 1)
    with trio.fail_after(1):
        await only.grow_to(3 * LIMIT_BYTES)
    assert memory.used_bytes == 3 * LIMIT_BYTES


async def test_later_small_answers_do_not_starve_a_large_one(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, large, late = _open_reservations(memory, 3)
    await first.grow_to(50)
    nursery.start_soon(large.grow_to, 90)
    await trio.testing.wait_all_tasks_blocked()
    await late.grow_to(50)
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == 140


async def test_cancelled_waiting_answer_does_not_block_others(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, given_up, third = _open_reservations(memory, 3)
    await first.grow_to(LIMIT_BYTES)
    with trio.move_on_after(0):
        await given_up.grow_to(LIMIT_BYTES)
    given_up.close()
    nursery.start_soon(third.grow_to, LIMIT_BYTES)
    await trio.testing.wait_all_tasks_blocked()
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == LIMIT_BYTES


async def test_idle_once_every_reservation_is_closed(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, second = _open_reservations(memory, 2)
    idle = trio.Event()

    async def wait() -> None:
        await memory.wait_idle()
        idle.set()

    nursery.start_soon(wait)
    first.close()
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert not idle.is_set()
    second.close()
    with trio.fail_after(1):
        await idle.wait()


@pytest.mark.parametrize("seed", SEEDS)
async def test_every_answer_completes_within_the_limit(seed, autojump_clock):
    rng = random.Random(seed)
    memory = AnswerMemory(LIMIT_BYTES)
    max_answer_bytes = 2 * LIMIT_BYTES
    max_used_bytes = 0

    async def hold(size: int) -> None:
        nonlocal max_used_bytes
        reservation = memory.open_reservation()
        try:
            with trio.move_on_after(rng.uniform(0.1, 100)):
                for part in range(1, size + 1, 10):
                    await reservation.grow_to(part)
                    max_used_bytes = max(max_used_bytes, memory.used_bytes)
                    await trio.sleep(rng.random())
        finally:
            reservation.close()

    with trio.fail_after(1000):
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(hold, rng.randint(1, max_answer_bytes))
    assert memory.used_bytes == 0
    assert LIMIT_BYTES / 2 < max_used_bytes <= LIMIT_BYTES + max_answer_bytes
