"""Steps for servers that write an earlier refusal once more."""

import asyncio

from behave import given, then, when

from features.gateway.exchanges import read_reply, request
from features.gateway.rig import LOOPBACK
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import ServerBehaviour


@when("two requests are sent to a server on one connection, and the first is {refused}")
def send_two(context, refused):
    rig = context.rig
    server = rig.servers["s-1"]
    server.behaviours.append(ServerBehaviour(refused))

    async def play():
        address = Address(ip=LOOPBACK, port=server.port)
        reader, writer = await rig.connect(address=address)
        for name in ("first", "second"):
            writer.write(request("/book/x", name=name, method="POST"))
            context.reply = await read_reply(reader)
        await rig.wait_until(lambda: len(server.arrivals) == 2)
        writer.close()

    rig.run(play())


@then("the second got the refusal although the server has run it")
def check_wrong(context):
    assert context.reply.status == 503, context.reply
    first, second = context.rig.servers["s-1"].arrivals
    assert not first.was_executed and second.was_executed


@given("every other request at each server is {refused}")
def refuse_every_other(context, refused):
    pair = [ServerBehaviour(refused), ServerBehaviour.ANSWER]
    for server in context.rig.servers.values():
        server.behaviours.extend(pair * 50)


@when('{count:d} requests "POST {path}" are sent, {at_once:d} at a time')
def send_requests(context, count, path, at_once):
    rig = context.rig
    limit = asyncio.Semaphore(at_once)
    context.replies = {}

    async def send(name):
        async with limit:
            context.replies[name] = await rig.call(path, name=name, method="POST")

    async def send_all():
        await asyncio.gather(*[send(f"r-{number}") for number in range(count)])

    rig.run(send_all())


@then("those that were answered 503 have not run, and the others have run once")
def check_replies(context):
    runs = [
        arrival.headers["Zinniaramp-Request-Id"]
        for arrival in context.rig.arrivals()
        if arrival.was_executed
    ]
    statuses = {name: reply.status for name, reply in context.replies.items()}
    assert set(statuses.values()) == {200, 503}, statuses
    for name, status in statuses.items():
        assert runs.count(name) == (1 if status == 200 else 0), (name, status)


@then("each connection to a server had one request")
def check_connections(context):
    for server in context.rig.servers.values():
        assert len(server.connections) == len(server.arrivals)
