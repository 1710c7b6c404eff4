"""Steps for answers that have started and can't be completed."""

import asyncio
import socket
import struct
from datetime import timedelta

from behave import then, when

from features.gateway.exchanges import request
from features.steps.gateway_quarantine_steps import prompt_lines
from zinniaramp.standins.platform import ServerBehaviour, expected_events

DEADLINE_MS = 1500
"""Deadline of the request; a stream that nothing ends is cut at it."""

SEGMENT = "a"
"""Prompt segment of the request that others may share."""

QUARANTINE_TIME = timedelta(minutes=10)
"""Time of the quarantines, longer than a scenario."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a connection resets it."""


def impose_quarantine(context, name, time=QUARANTINE_TIME):
    """Quarantine a cause of crashes at the gateway."""
    quarantine = context.rig.daemons[0].gateway.pool.crash_watch.quarantine
    quarantine.impose(name, time, 0, "peer")


def quarantine_request(context):
    """Quarantine the request that was sent last."""
    (chosen,) = context.rig.logged_events("endpoint-chosen")
    impose_quarantine(context, chosen["fingerprint"])


async def remove_endpoints(context):
    """Remove the entries of all servers."""
    rig = context.rig
    for name in rig.servers:
        rig.store.remove(f"servers/{name}")
    registry = rig.daemons[0].registry
    await rig.wait_until(lambda: not registry.ready("plain"))


def exhaust_budget(context):
    """Withdraw all retries of the gateway's budget."""
    pool = context.rig.daemons[0].gateway.pool
    while pool.withdraw_retry("plain"):
        pass


def let_servers_behave(context, behaviour):
    """Let the next request at each server have a behaviour."""
    for server in context.rig.servers.values():
        server.behaviours.append(behaviour)


def stop_listeners(context):
    """Let all servers refuse connections."""
    for server in context.rig.servers.values():
        server.server.stop()


REFUSALS = {
    "a quarantine of its segment": lambda context: impose_quarantine(context, SEGMENT),
    "a quarantine of the request": quarantine_request,
    "the lack of endpoints": remove_endpoints,
    "the retry budget": exhaust_budget,
    "servers that shed it": lambda context: let_servers_behave(
        context, ServerBehaviour.SHED
    ),
    "servers that fail it": lambda context: let_servers_behave(
        context, ServerBehaviour.FAIL
    ),
    "servers that are down": stop_listeners,
}
"""Functions that let the gateway or the servers refuse the next send of the request."""


def end_server(server, end):
    """End the connections of a server, or the server itself."""
    if end == "killed":
        server.crash()
    if end in ("closed", "reset"):
        for connection in tuple(server.connections):
            if end == "reset":
                connection.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
            connection.close()


async def send_raw(context, path):
    """Send a request with a shared prompt segment; return the connection."""
    context.name = "cut"
    reader, writer = await context.rig.connect()
    lines = prompt_lines([SEGMENT], "own")
    data = request(path, name=context.name, lines=lines, deadline_ms=DEADLINE_MS)
    writer.write(data)
    return reader, writer


def serving_server(context):
    """Return the server that the request has reached."""
    servers = context.rig.servers.values()
    (server,) = [server for server in servers if server.arrivals]
    return server


@when(
    'a stream of "{path}" has begun, its retry is refused by {refusal}, '
    "and its server is {end}"
)
def begin_stream_and_end_server(context, path, refusal, end):
    rig = context.rig
    for server in rig.servers.values():
        server.behaviours.append(ServerBehaviour.STALL)

    async def play():
        reader, writer = await send_raw(context, path)
        received = await reader.readuntil(b"\r\n\r\n")
        received += await reader.readuntil(b".2\n\n")
        server = serving_server(context)
        for other in rig.servers.values():
            other.behaviours.clear()
        refused = REFUSALS[refusal](context)
        if refused is not None:
            await refused
        end_server(server, end)
        # `read` returns at the end of the connection.
        context.received = received + await reader.read()
        writer.close()

    rig.run(play())


@when(
    '"{path}" is held by its server, its segment is quarantined, '
    "and the server is killed"
)
def hold_and_kill(context, path):
    rig = context.rig
    for server in rig.servers.values():
        server.behaviours.append(ServerBehaviour.HOLD)

    async def play():
        reader, writer = await send_raw(context, path)
        await rig.wait_until(lambda: rig.arrivals())
        impose_quarantine(context, SEGMENT)
        serving_server(context).crash()
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        context.received = head + await reader.readexactly(length)
        writer.write_eof()
        # Nothing follows the answer on the connection.
        context.received += await reader.read()
        writer.close()

    rig.run(asyncio.wait_for(play(), timeout=10))


def read_chunks(data):
    """Return the payload of the chunks, and the bytes that belong to none."""
    body = b""
    while data:
        size, _, rest = data.partition(b"\r\n")
        count = int(size, 16)
        assert len(rest) >= count + 2, data
        body, data = body + rest[:count], rest[count + 2 :]
        if not count:
            return body, data, True
    return body, b"", False


@then("its caller gets one status line, complete events and the end of the connection")
def check_cut(context):
    head, _, chunks = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    assert b"HTTP/1.1" not in chunks, chunks
    body, foreign, is_complete = read_chunks(chunks)
    assert not foreign and not is_complete, chunks
    assert body == expected_events(context.name, 1, 2), body


@then("the cut answer is logged with its cause")
def check_cut_logged(context):
    rig = context.rig
    (answered,) = rig.logged_events("answered")
    assert answered["whole"] is False and answered["problem"], answered
    assert not rig.logged_events("request-refused")


@then("its caller gets one complete {status:d}")
def check_one_answer(context, status):
    assert context.received.count(b"HTTP/1.1 ") == 1, context.received
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode())
    assert context.received.endswith(b"}}"), context.received
