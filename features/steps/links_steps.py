"""Steps for streams between processes, on socket pairs."""

import asyncio
import socket

from behave import given, then, when
from result import Ok
from tornado.iostream import IOStream

from zinniaramp.clock import monotonic_clock
from zinniaramp.contracts import Ping, RevisionId
from zinniaramp.contracts.codec import encode
from zinniaramp.links.core import Connection

REVISION = RevisionId(index=1, digest="")
MAX_WAIT_SECONDS = 20


def run(coroutine):
    """Run a coroutine with a timeout."""
    return asyncio.run(asyncio.wait_for(coroutine, MAX_WAIT_SECONDS))


def open_pair(name):
    """Return a connection, and the socket on which its peer writes."""
    own, other = socket.socketpair()
    stream = IOStream(own)
    return Connection(stream=stream, peer=name, clock=monotonic_clock()), other


async def write_pings(peer, count):
    """Write numbered heartbeats to a socket, in one go."""
    data = b"".join(
        encode(Ping(number=number, revision=REVISION)) for number in range(count)
    )
    await asyncio.get_running_loop().sock_sendall(peer, data)


async def handle_all(connection, handled, on_message=lambda: None):
    """Append the numbers of received messages until the stream ends."""
    while isinstance(received := await connection.receive(), Ok):
        for message in received.ok_value:
            if not connection.is_closed:
                handled.append(message.number)
                on_message()


@given("two open streams")
def open_streams(context):
    context.first, context.second = [], []


@when("the first receives {count:d} messages at once and then the second receives one")
def receive_on_both(context, count):
    context.count = count

    async def receive():
        first, first_peer = open_pair("first")
        second, second_peer = open_pair("second")
        first_peer.setblocking(False)
        second_peer.setblocking(False)
        await write_pings(second_peer, 1)
        writer = asyncio.create_task(write_pings(first_peer, count))
        tasks = [
            asyncio.create_task(handle_all(first, context.first)),
            asyncio.create_task(
                handle_all(
                    second,
                    context.second,
                    lambda: context.second.append(len(context.first)),
                )
            ),
        ]
        await writer
        first_peer.close()
        second_peer.close()
        await asyncio.gather(*tasks)

    run(receive())


@when("the first receives {count:d} messages at once and is closed at the first one")
def receive_and_close(context, count):
    async def receive():
        first, peer = open_pair("first")
        peer.setblocking(False)
        writer = asyncio.create_task(write_pings(peer, count))

        def close():
            asyncio.get_running_loop().call_soon(
                lambda: first.close(reason="closed by the test")
            )

        await handle_all(first, context.first, close)
        writer.cancel()
        peer.close()

    run(receive())


@then("the one on the second stream is handled after {count:d} of the others at most")
def check_turn(context, count):
    number, handled_before = context.second
    assert number == 0 and handled_before <= count, context.second


@then("all messages of the first stream are handled in order")
def check_all_handled(context):
    assert context.first == list(range(context.count)), len(context.first)


@then("no more than {count:d} messages of the first stream are handled")
def check_dropped(context, count):
    assert 0 < len(context.first) <= count, len(context.first)
