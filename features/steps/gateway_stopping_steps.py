"""Steps about stopping and reloading the gateway."""

import asyncio
from pathlib import Path

from behave import then, when
from result import Ok

from features.gateway.rig import (
    read_reply,
    request,
)
from zinniaramp.platform.settings import read_host_settings
from zinniaramp.standins.platform import expected_body


@when("the gateway is told to stop")
def told_to_stop(context):
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


@when("a request comes on a connection that was open, and the process finishes")
def late_request(context):
    rig = context.rig
    reader, writer = context.connection

    async def finish():
        writer.write(request("/read/x", name="late"))
        await rig.wait_until(lambda: len(rig.arrivals()) == 2)
        reading = asyncio.create_task(read_reply(reader))
        await rig.wait_until(lambda: rig.daemons[0].gateway.pool.is_refusing)
        refused = await rig.call("/read/x", name="too-late")
        assert refused.status == 503, refused
        for server in rig.servers.values():
            server.released.set()
        context.reply = await reading
        await rig.tasks[0]

    rig.run(finish())


@then("the held request got its whole answer")
def held_got_answer(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == expected_body("late")
    assert context.reply.headers["connection"] == "close"


@when("a connection is closed as idle while a request waits on it")
def closed_as_idle(context):
    rig = context.rig

    async def race():
        callers = rig.daemons[0].gateway.callers
        reader, writer = await rig.connect()
        await rig.wait_until(lambda: callers.idle)
        (connection,) = callers.idle
        writer.write(request("/read/x"))
        # Not yet seen by the event loop, and then seen but not yet parsed.
        callers.close_idle()
        while connection.stream.reading():
            await asyncio.sleep(0)
        connection.close()
        context.reply = await read_reply(reader)
        after = await rig.call("/read/x", name="after")
        assert after.status == 200, after

    rig.run(race())


@then("the request was answered, or reached no server")
def answered_or_unsent(context):
    names = [one.headers["Zinniaramp-Request-Id"] for one in context.rig.arrivals()]
    assert "r-1" not in names if context.reply.status != 200 else "r-1" in names


@when("the settings are read again from a wrong file")
def wrong_settings(context):
    path = Path(context.directory) / "node.toml"
    path.write_text('node_name = "x"\nzone = 3\n')
    daemon = context.rig.daemons[0]
    before = daemon.settings
    daemon.read_settings = lambda: read_host_settings(path)
    daemon.reload()
    assert daemon.settings is before


@then("the log says which field of the settings is wrong")
def log_names_setting(context):
    (refused,) = context.rig.logged_events("settings-refused")
    assert "listen" in refused["problem"], refused


@then("the health check names it")
def health_check_names_it(context):
    reply = context.rig.run(context.rig.readiness_reply())
    assert b"listen" in reply.body, reply


@when("it is read again from the right file")
def right_settings(context):
    daemon = context.rig.daemons[0]
    daemon.read_settings = lambda: Ok(daemon.settings)
    daemon.reload()


@then("the health check names nothing")
def health_check_names_nothing(context):
    reply = context.rig.run(context.rig.readiness_reply())
    assert b'"problems": []' in reply.body, reply
