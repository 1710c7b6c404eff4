"""Steps for prompts that are held in the gateway."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.gateway.configurations import configuration
from features.gateway.exchanges import read_reply, request
from features.steps.gateway_quarantine_steps import prompt_lines

DEADLINE_MS = 15_000
SHORT_DEADLINE_MS = 1500


async def start_call(context, name, deadline_ms):
    """Send a prompt; return the task that reads its reply, and its connection."""
    reader, writer = await context.rig.connect()
    lines = prompt_lines(["shared"], f"own-{name}")
    data = request("/ask/x", name=name, lines=lines, deadline_ms=deadline_ms)
    writer.write(data)

    async def finish():
        try:
            return await read_reply(reader)
        finally:
            writer.close()

    return asyncio.create_task(finish()), writer


@given("prompts that take the {count:d} slots of the engine, and one that is held")
def fill_engine(context, count):
    rig = context.rig
    for daemon in rig.daemons:
        gateway = daemon.gateway
        gateway.settings = replace(gateway.settings, holds_prompts=True)
    is_short = "deadline passes" in context.scenario.name

    async def play():
        context.calls = [
            await start_call(context, f"r-{number}", DEADLINE_MS)
            for number in range(count)
        ]
        await rig.wait_until(lambda: len(rig.arrivals()) == count)
        deadline_ms = SHORT_DEADLINE_MS if is_short else DEADLINE_MS
        context.held = await start_call(context, "held", deadline_ms)
        await rig.wait_until(lambda: rig.logged_events("prompt-held"))
        (values,) = rig.logged_events("prompt-held")
        assert values["request"] == "held" and values["lacks"] == "slots", values
        assert len(rig.arrivals()) == count, rig.arrivals()

    rig.run(play())


@when("version {version:d} of the configuration is in force")
def new_version(context, version):
    rig = context.rig
    rig.store.put("op/config", configuration(version))
    registry = rig.daemons[0].registry
    rig.run(rig.wait_until(lambda: registry.configuration.version == version))


@when("the engine answers what it has")
def engine_answers(context):
    async def play():
        context.rig.start_engine("m-1")
        replies = await asyncio.gather(*(task for task, _ in context.calls))
        assert all(one.status == 200 and one.is_complete for one in replies), replies

    context.rig.run(play())


@when("the caller of the held prompt leaves")
def caller_leaves(context):
    rig = context.rig

    async def play():
        context.held[1].close()
        await rig.wait_until(lambda: rig.logged_events("hold-ended"))
        (values,) = rig.logged_events("hold-ended")
        assert values["outcome"] == "left", values

    rig.run(play())


@when("the deadline of the held prompt passes")
def deadline_passes(context):
    async def play():
        context.reply = await context.held[0]

    context.rig.run(play())


@when("the process shuts down")
def shuts_down(context):
    async def play():
        context.rig.daemons[0].stopped.set()
        context.reply = await context.held[0]

    context.rig.run(play())


@then("the held prompt gets its complete answer")
def held_answered(context):
    async def play():
        return await context.held[0]

    reply = context.rig.run(play())
    assert reply.status == 200 and reply.is_complete, reply
    (values,) = context.rig.logged_events("hold-ended")
    assert values["outcome"] == "sent", values


@then("the engine got {count:d} prompts, and nothing is held")
def got_prompts(context, count):
    assert len(context.rig.arrivals()) == count, context.rig.arrivals()
    pool = context.rig.daemons[0].gateway.pool
    assert not pool.holder.waiting
    assert not pool.holder.admission.held_count()


@then("the held prompt gets 503 with Retry-After, and the engine got {count:d} prompts")
def held_refused(context, count):
    reply = context.reply
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) >= 0, reply
    got_prompts(context, count)
