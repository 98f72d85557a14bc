"""Test the memory limit for answers."""

import random

import pytest
import trio
import trio.testing

from persimmonhall.wire.answer_memory import AnswerMemory, Holding

LIMIT_BYTES = 100
SEEDS = range(20)


def _open(memory: AnswerMemory, count: int) -> list[Holding]:
    return [memory.open() for _ in range(count)]


async def test_answer_waits_for_room_and_gets_it_when_another_closes(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, second = _open(memory, 2)
    await first.grow_to(60)
    nursery.start_soon(second.grow_to, 60)
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == 60
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert (memory.used_bytes, memory.waits) == (60, 1)


async def test_oldest_answer_goes_on_beyond_the_limit():
    memory = AnswerMemory(LIMIT_BYTES)
    [only] = _open(memory, 1)
    with trio.fail_after(1):
        await only.grow_to(3 * LIMIT_BYTES)
    assert memory.used_bytes == 3 * LIMIT_BYTES


async def test_small_late_answers_do_not_overtake_a_large_one_for_ever(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, large, late = _open(memory, 3)
    await first.grow_to(50)
    nursery.start_soon(large.grow_to, 90)
    await trio.testing.wait_all_tasks_blocked()
    await late.grow_to(50)
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == 140


async def test_answer_given_up_while_it_waits_holds_up_no_other(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, given_up, third = _open(memory, 3)
    await first.grow_to(LIMIT_BYTES)
    with trio.move_on_after(0):
        await given_up.grow_to(LIMIT_BYTES)
    given_up.close()
    nursery.start_soon(third.grow_to, LIMIT_BYTES)
    await trio.testing.wait_all_tasks_blocked()
    first.close()
    await trio.testing.wait_all_tasks_blocked()
    assert memory.used_bytes == LIMIT_BYTES


async def test_idle_once_every_holding_is_closed(nursery):
    memory = AnswerMemory(LIMIT_BYTES)
    first, second = _open(memory, 2)
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
async def test_every_answer_ends_and_the_bound_holds(seed, autojump_clock):
    rng = random.Random(seed)
    memory = AnswerMemory(LIMIT_BYTES)
    largest = 2 * LIMIT_BYTES
    most_used = 0

    async def hold(size: int) -> None:
        nonlocal most_used
        holding = memory.open()
        try:
            with trio.move_on_after(rng.uniform(0.1, 100)):
                for part in range(1, size + 1, 10):
                    await holding.grow_to(part)
                    most_used = max(most_used, memory.used_bytes)
                    await trio.sleep(rng.random())
        finally:
            holding.close()

    with trio.fail_after(1000):
        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(hold, rng.randint(1, largest))
    assert memory.used_bytes == 0
    assert LIMIT_BYTES / 2 < most_used <= LIMIT_BYTES + largest
