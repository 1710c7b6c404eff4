"""Steps for servers that are gone while requests wait for their answers."""

import asyncio

from behave import then, when

from features.gateway.exchanges import read_reply, request
from features.steps.gateway_cut_answers_steps import serving_server

SETTLE_SECONDS = 1.5
"""Time after which the servers answer; a server counts as gone after 0.1 to 0.7 s."""


@when('"{method} {path}" waits at a server {fault}')
def waits_at_server(context, method, path, fault):
    rig = context.rig
    context.name = "gone"

    async def play():
        reader, writer = await rig.connect()
        writer.write(request(path, name=context.name, method=method, deadline_ms=5000))
        await rig.wait_until(lambda: rig.arrivals())
        server = serving_server(context)
        for other in rig.servers.values():
            other.behaviours.clear()
        if "leaves" in fault:
            rig.publish(server.id, state="draining")
            registry = rig.daemons[0].registry
            await rig.wait_until(lambda: registry.leaving)
        if "closes its listener" in fault:
            server.server.stop()
        if "entry is removed" in fault:
            rig.store.remove(f"servers/{server.id}")
        reading = asyncio.create_task(read_reply(reader))
        await asyncio.sleep(SETTLE_SECONDS)
        server.released.set()
        context.reply = await reading
        writer.close()

    rig.run(play())


@then("the reply is {status:d} and the request reached {count:d} server{plural}")
@then("the reply is {status:d} and the request reached {count:d} server")
def check_reply(context, status, count, plural=""):
    assert context.reply.status == status, context.reply
    assert len(context.rig.arrivals()) == count, context.rig.arrivals()


@then("the gateway has ended the send for this reason")
def check_ended(context):
    (values,) = context.rig.logged_events("endpoint-gone-waited")
    assert values["sends"] == 1 and values["is_removed"], values
