"""Steps for refusals of requests with large bodies."""

from behave import then, when

from features.gateway.exchanges import read_reply, request
from features.gateway.rig import LOOPBACK
from zinniaramp.sockets import Address

ANSWER_BYTES = 4096
"""More bytes than a refusal has."""


def callers_address(context):
    return Address(ip=LOOPBACK, port=context.rig.processes[0].callers)


def crowd_arrivals(context):
    return [
        one for one in context.rig.arrivals() if one.target.startswith(("/book", "/no"))
    ]


@when('the headers of a body of {size:d} bytes are sent to {path} with the key "{key}"')
def send_headers(context, size, path, key):
    rig = context.rig
    whole = request(path, method="POST", body=b"x" * size, key=key)
    head, _, context.body = whole.partition(b"\r\n\r\n")

    async def send():
        context.connection = await rig.connect(address=callers_address(context))
        context.connection[1].write(head + b"\r\n\r\n")
        context.reply = await read_reply(context.connection[0])

    rig.run(send())


@then("the caller gets {status:d} before it sends the body")
@then("the caller gets {status:d}")
def caller_gets(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.is_complete


@when("the caller sends the body")
def send_body(context):
    reader, writer = context.connection

    async def send():
        writer.write(context.body)
        context.rest = await reader.read()
        writer.close()

    context.rig.run(send())


@then("the connection is closed, and no server received the request")
def is_closed(context):
    assert context.rest == b"", context.rest
    assert not crowd_arrivals(context)


@when("a request with {size:d} bytes is sent to {path}")
def send_whole(context, size, path):
    context.reply = context.rig.run(send_one(context, path, size, "whole"))


async def send_one(context, path, size, name):
    data = request(path, name=name, method="POST", body=b"x" * size)
    return await context.rig.exchange(data, callers_address(context))


@when("{count:d} requests with {size:d} bytes are sent to {path} one after another")
def send_many(context, count, size, path):
    context.replies = [
        context.rig.run(send_one(context, path, size, f"r-{number}"))
        for number in range(count)
    ]


@then("each caller gets 200")
def each_answered(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * len(statuses), statuses


@then("the first caller of the crowd got 503 with Retry-After")
def first_got_refusal(context):
    data = context.crowd.sockets[0].recv(ANSWER_BYTES)
    assert data.startswith(b"HTTP/1.1 503"), data
    assert b"retry-after" in data.lower(), data


@then("no server received a request of the crowd")
def none_received(context):
    assert not crowd_arrivals(context)
