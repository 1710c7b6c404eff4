"""Steps for the limits on what callers may send."""

import asyncio

from behave import given, then, when

from features.gateway.configurations import CLIENT_LIMITS, configuration
from features.gateway.exchanges import read_reply, request
from features.gateway.rig import in_force
from zinniaramp.standins.platform import ServerBehaviour

HALF_HEADER = len("POST /book/x HTTP/1.1\r\nHo")
"""Bytes of a header that ends within a name."""


def make_request(name, count=0, part="body"):
    """Return a request with some bytes in its body or in one of its headers."""
    body = b"x" * count if part == "body" else b""
    lines = (f"X-Long: {'x' * count}",) if part == "header" else ()
    return request("/book/x", name=name, method="POST", body=body, lines=lines)


async def prepare(context, number, state):
    """Open a connection and bring it into a state; return it and what is to be sent."""
    rig = context.rig
    reader, writer = await rig.connect()
    if state == "had a request":
        writer.write(make_request(f"before-{number}"))
        assert (await read_reply(reader)).status == 200
    if state == "a request in work":
        for server in rig.servers.values():
            server.behaviours.append(ServerBehaviour.HOLD)
        writer.write(make_request(f"held-{number}"))
        await rig.wait_until(lambda: len(rig.arrivals()) == number + 1)
    if state == "sent half a header":
        writer.write(make_request("any")[:HALF_HEADER])
    return reader, writer


@given("{count:d} connections that have {state}")
def make_connections(context, count, state):
    context.state = state

    async def prepare_all():
        return [await prepare(context, number, state) for number in range(count)]

    context.connections = context.rig.run(prepare_all())


@given("{count:d} connections on which half of {size:d} bytes has arrived")
def send_half_bodies(context, count, size):
    context.rest = []

    async def send_half(number):
        reader, writer = await context.rig.connect()
        data = make_request(f"half-{number}", size)
        writer.write(data[: -size // 2])
        context.rest.append(data[-size // 2 :])
        return reader, writer

    async def send_all():
        connections = [await send_half(number) for number in range(count)]
        # A gateway that has answered a later request has read these headers.
        assert (await context.rig.call("/read/x", name="after")).status == 200
        return connections

    context.connections = context.rig.run(send_all())


@when('the limit "{limit}" becomes {value:d}')
def change_limit(context, limit, value):
    limits = CLIENT_LIMITS | {limit: value}
    context.rig.store.put("op/config", configuration(9, limits=limits))
    context.rig.run(context.rig.wait_until(lambda: in_force(context, 9)))


async def send_on(context, connection, data):
    """Send bytes on a connection and return the reply."""
    reader, writer = connection
    if context.state == "a request in work":
        for server in context.rig.servers.values():
            server.released.set()
        assert (await read_reply(reader)).status == 200
    if context.state == "sent half a header":
        data = data[HALF_HEADER:]
    writer.write(data)
    reply = await read_reply(reader)
    writer.close()
    return reply


@when("a request with {count:d} bytes in its {part} is sent on each of them")
def send_on_each(context, count, part):
    async def send_all():
        return [
            await send_on(context, one, make_request(f"long-{number}", count, part))
            for number, one in enumerate(context.connections)
        ]

    context.replies = context.rig.run(send_all())


@when("a request with {count:d} bytes in its {part} is sent on a new connection")
def send_on_new(context, count, part):
    data = make_request("new", count, part)
    context.replies = [context.rig.run(context.rig.exchange(data))]


@when("the other half is sent on each of them")
def send_other_half(context):
    async def send_rest(connection, data):
        reader, writer = connection
        writer.write(data)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def send_all():
        pairs = zip(context.connections, context.rest, strict=True)
        return await asyncio.gather(*[send_rest(*pair) for pair in pairs])

    context.replies = context.rig.run(send_all())


@then("each gets {status:d}")
def check_each(context, status):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {status}, statuses
