"""Steps for stopping the gateway and reloading its settings."""

import asyncio
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from unittest.mock import patch

from behave import then, when
from result import Ok

from features.gateway.exchanges import read_reply, request
from zinniaramp.gateway.caller import CallerConnection
from zinniaramp.platform.settings import read_host_settings
from zinniaramp.standins.platform import expected_body

SHORT_GRACE = timedelta(seconds=4)
"""Grace period that ends soon after new requests are refused."""


@when("the gateway receives the stop signal")
def receives_stop_signal(context):
    rig = context.rig

    async def stop():
        context.connection = await rig.connect()
        context.connection[1].write(request("/open/x", name="before"))
        await rig.wait_until(lambda: rig.arrivals())
        for server in rig.servers.values():
            server.released.set()
        reply = await read_reply(context.connection[0])
        assert reply.status == 200, reply
        for server in rig.servers.values():
            server.released.clear()
        rig.daemons[0].stopped.set()
        await rig.wait_until(lambda: rig.daemons[0].gateway.is_stopping)

    rig.run(stop())


@when("a request arrives on an open connection and the process shuts down")
def late_request(context):
    rig = context.rig
    reader, writer = context.connection

    async def finish():
        writer.write(request("/read/x", name="late"))
        await rig.wait_until(lambda: len(rig.arrivals()) == 2)
        reply_task = asyncio.create_task(read_reply(reader))
        await rig.wait_until(lambda: rig.daemons[0].gateway.pool.is_refusing)
        refused = await rig.call("/read/x", name="too-late")
        assert refused.status == 503, refused
        for server in rig.servers.values():
            server.released.set()
        context.reply = await reply_task
        await rig.tasks[0]

    rig.run(finish())


@then("the request got its complete answer")
def request_completed(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == expected_body("late")
    assert context.reply.headers["connection"] == "close"


@when('"{method} {path}" arrives on an open connection while the gateway stops')
def arrives_while_stopping(context, method, path):
    rig = context.rig
    gateway = rig.daemons[0].gateway
    gateway.settings = replace(gateway.settings, grace=SHORT_GRACE)

    async def stop():
        reader, writer = await rig.connect()
        rig.daemons[0].stopped.set()
        await rig.wait_until(lambda: gateway.is_stopping)
        writer.write(request(path, method=method))
        await rig.wait_until(rig.arrivals)
        context.reply = await read_reply(reader)
        await rig.tasks[0]

    rig.run(stop())


@then(
    "its caller gets a complete {status:d} before the process exits, and the server "
    "is disconnected"
)
def answered_before_exit(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.is_complete
    assert context.reply.headers["connection"] == "close"
    assert b"stopping" in context.reply.body, context.reply
    rig = context.rig
    rig.run(rig.wait_until(lambda: all(one.was_disconnected for one in rig.arrivals())))


@when("the body of a request arrives after the gateway has begun to refuse new ones")
def body_arrives_late(context):
    rig = context.rig
    gateway = rig.daemons[0].gateway
    body = b"a late body"

    async def stop():
        reader, writer = await rig.connect()
        data = request("/book/x", method="POST", body=body)
        writer.write(data.removesuffix(body))
        rig.daemons[0].stopped.set()
        await rig.wait_until(lambda: gateway.pool.is_refusing)
        writer.write(body)
        context.reply = await read_reply(reader)

    rig.run(stop())


@then("its caller gets a complete {status:d}, and it reached no server")
def refused_late(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.is_complete
    assert not context.rig.arrivals()


@when('the refusal of "{method} {path}" is being written while the gateway stops')
def refusal_while_stopping(context, method, path):
    rig = context.rig
    gateway = rig.daemons[0].gateway
    gateway.settings = replace(gateway.settings, grace=SHORT_GRACE)
    is_refused = asyncio.Event()

    async def refuse(*_):
        is_refused.set()
        await asyncio.Event().wait()

    async def stop():
        _, writer = await rig.connect()
        writer.write(request(path, method=method))
        await is_refused.wait()
        rig.daemons[0].stopped.set()
        await rig.tasks[0]

    with patch.object(CallerConnection, "refuse", refuse):
        rig.run(stop())


@then("the process has shut down")
def has_shut_down(context):
    assert context.rig.logged_events("gateway-stopped")


@when("a connection is closed as idle while it has an unread request")
def closed_as_idle(context):
    rig = context.rig

    async def race():
        callers = rig.daemons[0].gateway.callers
        reader, writer = await rig.connect()
        await rig.wait_until(lambda: callers.idle)
        (connection,) = callers.idle
        writer.write(request("/read/x"))
        # Closes the connection twice: before the event loop has read the request, and
        # after it has read the bytes but not parsed them.
        callers.close_idle()
        while connection.stream.reading():
            await asyncio.sleep(0)
        connection.close()
        context.reply = await read_reply(reader)
        after = await rig.call("/read/x", name="after")
        assert after.status == 200, after

    rig.run(race())


@then("the request was answered, or reached no server")
def answered_or_not_sent(context):
    sent_ids = [one.headers["Zinniaramp-Request-Id"] for one in context.rig.arrivals()]
    assert "r-1" not in sent_ids if context.reply.status != 200 else "r-1" in sent_ids


@when("the settings are reloaded from an invalid file")
def invalid_settings(context):
    path = Path(context.directory) / "node.toml"
    path.write_text('node_name = "x"\nzone = 3\n')
    daemon = context.rig.daemons[0]
    before = daemon.settings
    daemon.read_settings = lambda: read_host_settings(path)
    daemon.reload()
    assert daemon.settings is before


@then("the log names the invalid field of the settings")
def log_names_setting(context):
    (refused,) = context.rig.logged_events("settings-refused")
    assert "listen" in refused["problem"], refused


@then("the health check reports the invalid field")
def health_check_reports_field(context):
    reply = context.rig.run(context.rig.readiness_reply())
    assert b"listen" in reply.body, reply


@when("the settings are reloaded from a valid file")
def valid_settings(context):
    daemon = context.rig.daemons[0]
    daemon.read_settings = lambda: Ok(daemon.settings)
    daemon.reload()


@then("the health check reports no problems")
def health_check_reports_nothing(context):
    reply = context.rig.run(context.rig.readiness_reply())
    assert b'"problems": []' in reply.body, reply
