"""Steps for exceptions within the handling of a request."""

import asyncio
import builtins
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.gateway.exchanges import read_reply, request
from zinniaramp.gateway import handling, pool, upstream
from zinniaramp.gateway.streams import EventRelay
from zinniaramp.standins.platform import ServerBehaviour

EVENT_SECONDS = 0.02
"""Time between two events of a stream, which arrive one at a time."""

ERRORS = {
    "UnicodeEncodeError": UnicodeEncodeError("latin-1", "\u0141", 0, 1, "test"),
}
"""Exceptions that need arguments; others are built from their name."""

CODEC_FUNCTIONS = ("read_request", "write_request", "read_answer")
"""Functions of the header codec."""

PATCHED = {
    "match_request": (handling, "match_request", 1),
    "select": (pool.EndpointPool, "select", 1),
    "open_stream": (upstream, "open_stream", 1),
    "relay": (EventRelay, "feed", 1),
    "relay later": (EventRelay, "feed", 3),
    "record_event": (pool.EndpointPool, "record_event", 1),
    "record_result": (pool.EndpointPool, "record_result", 1),
}
"""Functions that raise: where they are, their names, and at which call."""


def is_send(connection, start_line, *_):
    """Return whether headers are those of a send; other connections have the class."""
    return connection.is_client and start_line.path.startswith("/book/")


def raise_once(original, error, call=1, applies=lambda *_: True):
    """Return a function that raises at one call, and is the original at all others."""
    calls = 0

    def function(*arguments, **fields):
        nonlocal calls
        calls += applies(*arguments)
        if calls == call and applies(*arguments):
            raise error
        return original(*arguments, **fields)

    return function


@given("{function} raises {name}")
def patch_function(context, function, name):
    error = ERRORS.get(name) or getattr(builtins, name)("test")
    gateway = context.rig.daemons[0].gateway
    if function in CODEC_FUNCTIONS:
        original = getattr(gateway.pool.codec, function)
        changed = {function: raise_once(original, error)}
        gateway.pool.codec = replace(gateway.pool.codec, **changed)
        return
    if function == "write_headers":
        owner, attribute, call = upstream.HTTP1Connection, function, 1
        applies = is_send
    else:
        (owner, attribute, call), applies = PATCHED[function], lambda *_: True
    original = getattr(owner, attribute)
    changed = raise_once(original, error, call, applies)
    patch = mock.patch.object(owner, attribute, changed)
    patch.start()
    context.add_cleanup(patch.stop)


@when('"{path}" is sent and the exception is raised')
def send_request(context, path):
    rig = context.rig
    for server in rig.servers.values():
        server.event_seconds = EVENT_SECONDS
    method = "POST" if path.startswith("/book/") else "GET"

    async def send():
        reader, writer = await rig.connect()
        writer.write(request(path, name="failing", method=method, deadline_ms=15_000))
        async with asyncio.timeout(1):
            context.reply = await read_reply(reader)
        writer.close()

    rig.run(send())


@then("its caller gets {end} within 1 s")
def check_end(context, end):
    reply = context.reply
    if end == "a cut answer":
        assert reply.status == 200 and not reply.is_complete, reply
    else:
        assert reply.status == int(end) and reply.is_complete, reply


@then("the exception is logged with the request's id, and nothing is in flight")
def check_logged(context):
    rig = context.rig
    (failed,) = rig.logged_events("request-failed")
    # Before its headers are read, a request has no id.
    assert failed["request"] in ("failing", ""), failed
    assert failed["error"] and failed["where"], failed
    gateway = rig.daemons[0].gateway
    assert not gateway.pool.in_flight, gateway.pool.in_flight
    assert not gateway.pool.placement.engine_by_send
    rig.run(rig.wait_until(lambda: not gateway.callers.tasks))


@then("the next requests succeed")
def check_next(context):
    rig = context.rig

    async def call_all():
        for path in ("/read/x", "/tell/x", "/read/y"):
            reply = await rig.call(path, name=f"next{path}")
            assert reply.status == 200 and reply.is_complete, reply

    rig.run(call_all())


@given("the id of event {number:d} of every first stream is {name}")
def set_odd_id(context, number, name):
    digits, _, digit = name.partition(" ")
    escaped = name.encode().decode("unicode_escape")
    odd = digit.encode() * int(digits) if digit else escaped.encode("latin-1")
    shared = context.rig.servers["s-1"].behaviours
    shared.append(ServerBehaviour.ODD_ID)
    for server in context.rig.servers.values():
        server.behaviours = shared
        server.odd_event, server.odd_id = number, odd
