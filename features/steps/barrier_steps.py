"""Steps for the read barrier, in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from result import Err, Ok

from features.support.virtual_time import VirtualTimeLoop
from zinniaramp.reads import ReadError
from zinniaramp.registry import ItemCache, ReadBarrier, StoreRevision


class ReadStore:
    """A store whose revision is read, and a process that hears of it."""

    def __init__(self, seconds, *, refuses):
        self.seconds = seconds
        self.refuses = refuses
        self.reads = 0
        self.number = 1
        self.cache = ItemCache()
        self.hear()

    def hear(self):
        """Let the process know all changes."""
        self.cache.revision = StoreRevision(era=0, number=self.number)

    async def read(self):
        """Return the revision at the beginning of the read."""
        self.reads += 1
        revision = StoreRevision(era=0, number=self.number)
        await asyncio.sleep(self.seconds)
        return Err(ReadError("refused")) if self.refuses else Ok(revision)


@given("a read barrier over a store that {answers} within {milliseconds:d} ms")
def make_barrier(context, answers, milliseconds):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    seconds = milliseconds / 1000
    context.store = ReadStore(seconds, refuses=answers == "refuses")
    context.barrier = ReadBarrier(
        cache=context.store.cache,
        read_revision=context.store.read,
        large_answers=SimpleNamespace(is_arriving=lambda: False),
    )


def wait(context):
    """Start a task that waits; it returns whether it is current, and when."""

    async def run():
        is_current = await context.barrier.wait()
        return is_current, round(context.loop.seconds * 1000)

    return asyncio.create_task(run())


def play(context, coroutine):
    """Play a scenario and keep the results of its tasks."""
    context.results = context.loop.run_until_complete(coroutine)


@when(
    "the store changes, the process hears of it after {milliseconds:d} ms, "
    "and 1 task waits"
)
def hear_later(context, milliseconds):
    async def run():
        context.store.number += 1
        context.loop.call_later(milliseconds / 1000, context.store.hear)
        return [await wait(context)]

    play(context, run())


@when("{count:d} task waits")
def one_waits(context, count):
    async def run():
        return await asyncio.gather(*[wait(context) for _ in range(count)])

    play(context, run())


@when(
    "a task waits, the store changes {milliseconds:d} ms later, and another task waits"
)
def change_during_read(context, milliseconds):
    async def run():
        first = wait(context)
        await asyncio.sleep(milliseconds / 1000)
        context.store.number += 1
        second = wait(context)
        return await asyncio.gather(first, second)

    play(context, run())


@when("{count:d} tasks wait at the same time, and {more:d} more during the read")
def many_wait(context, count, more):
    async def run():
        first = [wait(context) for _ in range(count)]
        await asyncio.sleep(context.store.seconds / 2)
        return await asyncio.gather(*first, *[wait(context) for _ in range(more)])

    play(context, run())


@when("2 tasks wait, and the first one is cancelled")
def first_gives_up(context):
    async def run():
        first, second = wait(context), wait(context)
        await asyncio.sleep(context.store.seconds / 2)
        first.cancel()
        return [(False, 0), await second]

    play(context, run())


@then("it is current after {milliseconds:d} ms")
def check_current_after(context, milliseconds):
    ((is_current, at),) = context.results
    # The arrival is polled for.
    assert is_current and milliseconds <= at <= milliseconds + 10, context.results


@then("it is not current after {milliseconds:d} ms")
def check_not_current(context, milliseconds):
    assert context.results == [(False, milliseconds)], context.results


@then("all are current, and the store was read {count:d} times")
def check_all_current(context, count):
    assert all(is_current for is_current, _ in context.results), context.results
    assert context.store.reads == count, context.store.reads


@then("only the {which} one is current, and the store was read {count:d} time")
@then("only the {which} one is current, and the store was read {count:d} times")
def check_one_current(context, which, count):
    expected = [which == "first", which == "second"]
    assert [one for one, _ in context.results] == expected, context.results
    assert context.store.reads == count, context.store.reads
