"""Steps for servers that are silent for a while and then go on."""

import asyncio
from datetime import timedelta

from behave import then, when

from features.gateway.exchanges import read_reply, request
from features.steps.gateway_cut_answers_steps import (
    REFUSALS,
    SEGMENT,
    impose_quarantine,
    serving_server,
)
from features.steps.gateway_quarantine_steps import prompt_lines
from zinniaramp.standins.platform import ServerBehaviour

PAUSE_SECONDS = 0.45
"""Pause between events; a stream of the route is silent for 0.2 s before a retry."""

LATE_SECONDS = 1.2
"""Time to the answer; the routes' requests are retried after 0.8 s, or half of the
deadline."""

DEADLINE_MS = 2000
"""Deadline of the late requests."""


async def send_and_refuse_retry(context, path, refuse, *, seconds, deadline_ms):
    """Send a request, and refuse its retry as soon as a server has it.

    The servers continue after `seconds`.
    """
    rig = context.rig
    context.name = "slow"
    reader, writer = await rig.connect()
    lines = prompt_lines([SEGMENT], "own")
    data = request(path, name=context.name, lines=lines, deadline_ms=deadline_ms)
    writer.write(data)
    await rig.wait_until(lambda: rig.arrivals())
    server = serving_server(context)
    for other in rig.servers.values():
        other.behaviours.clear()
    refused = refuse(context)
    if refused is not None:
        await refused
    reading = asyncio.create_task(read_reply(reader))
    await asyncio.sleep(seconds)
    server.released.set()
    context.reply = await reading
    writer.close()


@when(
    'a stream of "{path}" pauses between events, and its retry is refused by {refusal}'
)
def stream_pauses(context, path, refusal):
    for server in context.rig.servers.values():
        server.event_seconds = PAUSE_SECONDS
    play = send_and_refuse_retry(
        context, path, REFUSALS[refusal], seconds=0, deadline_ms=5000
    )
    context.rig.run(play)


@when('"{path}" is answered late, and its retry is refused by {refusal}')
def answered_late(context, path, refusal):
    for server in context.rig.servers.values():
        server.behaviours.append(ServerBehaviour.HOLD)
    play = send_and_refuse_retry(
        context, path, REFUSALS[refusal], seconds=LATE_SECONDS, deadline_ms=DEADLINE_MS
    )
    context.rig.run(play)


@when(
    '"{path}" is held by its server, and its segment is quarantined for {seconds:d} s'
)
def quarantined_for_a_while(context, path, seconds):
    for server in context.rig.servers.values():
        server.behaviours.append(ServerBehaviour.HOLD)

    def quarantine(context):
        impose_quarantine(context, SEGMENT, timedelta(seconds=seconds))

    play = send_and_refuse_retry(context, path, quarantine, seconds=3, deadline_ms=5000)
    context.rig.run(play)


@then("the reply is complete, and the request reached 1 server")
def check_complete(context):
    reply = context.reply
    assert reply.status == 200 and reply.is_complete and reply.body, reply
    assert len(context.rig.arrivals()) == 1, context.rig.arrivals()
