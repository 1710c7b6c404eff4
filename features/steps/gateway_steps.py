"""Steps about the gateway on the platform."""

import asyncio
import json
import os
from datetime import UTC, datetime, timedelta
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from features.gateway.rig import (
    KEY,
    Rig,
    configuration,
    read_reply,
    request,
    route,
)
from zinniaramp.commands.explain import read_story
from zinniaramp.observability import LogWriter
from zinniaramp.observability.writer import MAX_QUEUED_BYTES
from zinniaramp.platform.settings import read_host_settings
from zinniaramp.reads import ReadError
from zinniaramp.registry import Source
from zinniaramp.routing.budget import WindowRetryBudget
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import Conduct, expected_body, expected_events

FORGED = (
    "Zinniaramp-Tenant: other",
    "Zinniaramp-Expect-Instance: i-0",
    "Zinniaramp-Urgency-Level: 0",
    "Zinniaramp-Pin-Ms: 4000",
    "Zinniaramp-Kv-Hold: h",
    "Zinniaramp-Kv-Backup: 10.0.0.1:1",
    "Kv-From: 10.0.0.1:1/h",
    "X-Kept: yes",
    "X-Dropped: no",
    "Connection: X-Dropped",
    "TE: trailers",
)
START = datetime(2026, 1, 1, tzinfo=UTC)
BASE_LINE = {"time": "2026-01-01T00:00:00+00:00", "level": "INFO", "event": 2000}
MISSING_HOLD = timedelta(seconds=3)


def new_rig(context):
    rig = context.rig = Rig()
    context.end_fleet = rig.close
    rig.run(rig.start())
    return rig


@given("an empty store")
def empty_store(context):
    new_rig(context)


@given("a store with the usual configuration")
def usual_store(context):
    new_rig(context).store.put("op/config", configuration())


@given("a store with the usual configuration and pages of one item")
def paged_store(context):
    usual_store(context)
    context.rig.store.page_items = 1


@given('the servers "{names}" are listed')
def servers_listed(context, names):
    for name in names.split():
        context.rig.run(context.rig.add_server(name))


@given('the server "{name}" is listed at the address of "{other}"')
def listed_at_other(context, name, other):
    rig = context.rig
    rig.run(rig.add_server(other, publish=False))
    rig.servers[name] = rig.servers[other]
    rig.publish(name)


@given('the server "{name}" is down but still listed')
def server_down(context, name):
    context.rig.servers[name].server.stop()


@given("a gateway that is ready")
def gateway_ready(context):
    context.rig.run(context.rig.add_daemon())


@given("a gateway that has started")
def gateway_started(context):
    context.rig.run(context.rig.add_daemon(wait=False))
    context.rig.run(asyncio.sleep(0))


@given('every server will "{conduct}"')
def every_server_will(context, conduct):
    for server in context.rig.servers.values():
        server.conducts.extend([Conduct(conduct)] * 10)


@given('the first send will "{conduct}"')
def first_send_will(context, conduct):
    shared = context.rig.servers["s-1"].conducts
    shared.append(Conduct(conduct))
    for server in context.rig.servers.values():
        server.conducts = shared


def send(context, text, **fields):
    method, path = text.split()
    context.name = f"r-{len(context.rig.events)}"
    call = context.rig.call(path, name=context.name, method=method, **fields)
    context.reply = context.rig.run(call)


@when('"{text}" is sent')
def is_sent(context, text):
    send(context, text)


@when('"{text}" is sent with {milliseconds:d} ms left')
def is_sent_with_deadline(context, text, milliseconds):
    send(context, text, deadline_ms=milliseconds)


@when('"{text}" is sent with the key "{key}"')
@when('"{text}" is sent with the key ""')
def is_sent_with_key(context, text, key=""):
    send(context, text, key=key)


@when('"{text}" is sent with the line "{line}"')
def is_sent_with_line(context, text, line):
    send(context, text, lines=(line,))


@when('"{text}" is sent with forged headers')
def is_sent_forged(context, text):
    send(context, text, lines=FORGED)


@when('"{text}" is sent and its caller leaves')
def caller_leaves(context, text):
    rig = context.rig
    method, path = text.split()

    async def leave():
        _, writer = await rig.connect()
        writer.write(request(path, method=method))
        await rig.until(lambda: rig.arrivals())
        writer.close()

    rig.run(leave())


@when('"{text}" is sent and the server goes on after a while')
def goes_on_after_a_while(context, text):
    rig = context.rig
    context.name = "held"
    _, path = text.split()

    async def hold():
        sending = asyncio.create_task(rig.call(path, name=context.name))
        await rig.until(lambda: rig.arrivals())
        # Another whole call passes meanwhile, so that the loop has had many turns.
        for server in rig.servers.values():
            server.conducts.clear()
        assert (await rig.call("/read/x", name="meanwhile")).status == 200
        for server in rig.servers.values():
            server.released.set()
        context.reply = await sending
        rig.forget("meanwhile")

    rig.run(hold())


@when("{count:d} calls are sent")
def calls_sent(context, count):
    for number in range(count):
        name = f"many-{number}"
        reply = context.rig.run(context.rig.call("/read/x", name=name))
        assert reply.status == 200, reply


@when("a call with a body in chunks is sent")
def chunked_call(context):
    context.name = "chunked"
    data = request(
        "/book/x",
        name=context.name,
        method="GET",
        lines=("Transfer-Encoding: chunked",),
    ).replace(b"GET ", b"POST ", 1)
    data += b"4\r\nfour\r\n3\r\nend\r\n0\r\n\r\n"
    context.reply = context.rig.run(context.rig.exchange(data))


@when('a request with "{lines}" is sent')
def ambiguous_request(context, lines):
    data = request("/book/x", method="GET", lines=lines.split("; "))
    data = data.replace(b"GET ", b"POST ", 1) + b"abc"
    context.reply = context.rig.run(context.rig.exchange(data))


@then("the reply is {status:d} with the server's body and signature")
def reply_whole(context, status):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.body == expected_body(context.name), reply
    assert reply.is_whole
    assert reply.headers["zinniaramp-request-id"] == context.name
    assert reply.headers["zinniaramp-server-stamp"].startswith("stamp.")


@then("the reply is {status:d} without a signature")
def reply_unsigned(context, status):
    assert context.reply.status == status, context.reply
    assert "zinniaramp-server-stamp" not in context.reply.headers


@then("the reply is {status:d} with a signature")
def reply_signed(context, status):
    assert context.reply.status == status, context.reply
    assert "zinniaramp-server-stamp" in context.reply.headers


@then("the reply is 200 with every event once and in order")
def reply_events(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.is_whole
    assert context.reply.body == expected_events(context.name, 1, 4), context.reply


@then("the reply breaks off after whole events")
def reply_breaks_off(context):
    assert not context.reply.is_whole
    assert context.reply.body == expected_events(context.name, 1, 2), context.reply


@then("it reached {count:d} server")
@then("it reached {count:d} servers")
def reached(context, count):
    assert len(context.rig.arrivals()) == count, context.rig.arrivals()


@then("no server has run it")
def none_ran(context):
    assert not any(arrival.ran for arrival in context.rig.arrivals())


@when('calls are sent until the log says that "{name}" is left out')
def sent_until_left_out(context, name):
    rig = context.rig
    context.replies = []

    async def send():
        while not rig.logged("endpoint-left-out"):
            call = f"until-{len(context.replies)}"
            context.replies.append(await rig.call("/read/x", name=call))

    rig.run(send())
    line = rig.logged("endpoint-left-out")[0]
    assert line["endpoint"] == f"{name}@1000", line


@then("each of them was answered")
def each_answered(context):
    assert all(reply.status == 200 for reply in context.replies), context.replies


@then("it says when to come back")
def says_when(context):
    assert float(context.reply.headers["retry-after"]) > 0


@then("it says to come back within {milliseconds:d} ms")
def says_within(context, milliseconds):
    assert 0 < float(context.reply.headers["retry-after"]) <= milliseconds / 1000


@then("one server got it with its method, path, query and id unchanged")
def got_unchanged(context):
    (arrival,) = context.rig.arrivals()
    assert (arrival.method, arrival.target) == ("GET", "/read/x?y=1")
    assert arrival.headers["Zinniaramp-Request-Id"] == context.name


@then("the server got the body whole")
def got_body(context):
    (arrival,) = context.rig.arrivals()
    assert arrival.body == b"fourend"


@then("the run was cut")
def run_cut(context):
    rig = context.rig
    rig.run(rig.until(lambda: any(one.was_cut for one in rig.arrivals())))


@then("the second send named the last event that the caller has")
def named_last_event(context):
    first, second = context.rig.arrivals()
    assert "Last-Event-Id" not in first.headers
    assert second.headers["Last-Event-Id"] == "2"


@then("the server saw none of them, and what the system sets")
def forged_replaced(context):
    (arrival,) = context.rig.arrivals()
    headers = arrival.headers
    assert headers["Zinniaramp-Tenant"] == "workshop"
    assert headers["Zinniaramp-Expect-Instance"] in context.rig.servers
    assert 0 < int(headers["Zinniaramp-Deadline-Ms"]) <= 5000
    assert headers["X-Kept"] == "yes"
    dropped = ("Authorization", "X-Dropped", "Te", "Kv-From")
    absent = ("Zinniaramp-Pin-Ms", "Zinniaramp-Kv-Hold", "Zinniaramp-Kv-Backup")
    for name in dropped + absent + ("Zinniaramp-Urgency-Level",):
        assert name not in headers, name


@then("it is refused or cut, and reached no server")
def refused_or_cut(context):
    assert context.reply.status in (0, 400, 413), context.reply
    assert not context.rig.arrivals()


@then("its health check answers {status:d}")
def health_check(context, status):
    assert context.rig.run(context.rig.ready_status()) == status


def in_force(context, version):
    registry = context.rig.daemons[0].registry
    return registry.configuration.version == version


def known_revision(context):
    """Wait until the gateway has seen the store's newest revision."""
    rig = context.rig
    cache = rig.daemons[0].registry.cache
    rig.run(rig.until(lambda: cache.revision >= rig.store.revision))


@when('version {version:d} takes the key "{key}" away')
def key_taken(context, version, key):
    context.rig.store.put("op/config", configuration(version, keys=["other-key"]))
    context.rig.run(context.rig.until(lambda: in_force(context, version)))


@when("version {version:d} gives it back")
def key_given_back(context, version):
    context.rig.store.put("op/config", configuration(version, keys=[KEY]))
    known_revision(context)


@when("version {version:d} has a route without a kind")
def broken_version(context, version):
    broken = route("read", "safe")
    del broken["route_type"]
    document = configuration(version, routes=[broken])
    context.rig.store.put("op/config", document)
    known_revision(context)


@then("the log names the field and the remedy")
def log_names_field(context):
    (refused,) = context.rig.logged("item-refused")
    assert "routes[0].route_type = 'None'" in refused["problem"]
    assert "correct it" in refused["problem"]


@when('the server "{name}" says that it leaves, and then that it is ready')
def leaves_then_ready(context, name):
    context.rig.publish(name, state="draining")
    known_revision(context)
    context.rig.publish(name, state="ready")
    known_revision(context)


@then('none reached "{name}"')
def none_reached(context, name):
    assert not context.rig.servers[name].arrivals


@when('the server "{name}" leaves and is born again')
def born_again(context, name):
    context.rig.publish(name, state="draining")
    known_revision(context)
    context.rig.publish(name, born=2000)
    known_revision(context)


@when("entries that can't be read are written")
def unreadable_entries(context):
    rig = context.rig
    rig.store.put_bytes("servers/x-1", b"\xff\x00")
    rig.store.put("servers/x-2", {"service": "plain"})
    rig.publish("s-1", state="resting")
    rig.publish("s-1", slots="6")
    rig.publish("s-1", born=1.5)
    rig.publish("s-1", address="nowhere")
    known_revision(context)
    assert not rig.daemons[0].registry.endpoints
    rig.publish("s-1")
    known_revision(context)


@when('the store drops its history while it is away and "{name}" leaves')
def history_dropped(context, name):
    rig = context.rig
    rig.store.refuses = True
    rig.store.wake()
    follower = rig.daemons[0].follower
    rig.store.put("unrelated", {})
    rig.run(rig.until(lambda: follower.lost_at is not None))
    rig.store.remove(f"servers/{name}")
    rig.store.compact()
    rig.store.refuses = False
    known_revision(context)


@then('the gateway knows only "{name}"')
def knows_only(context, name):
    endpoints = context.rig.daemons[0].registry.endpoints.values()
    assert [one.id for one in endpoints] == [name]


def move_clock(daemon, step):
    """Move the clocks by which a daemon judges an outage."""
    now = daemon.registry.clock

    def later():
        return now() + step

    daemon.registry.clock = later
    daemon.follower.clock = later


@when('the store returns after an outage in which "{name}" lapsed')
def returns_after_outage(context, name):
    rig = context.rig
    daemon = rig.daemons[0]
    rig.store.refuses = True
    rig.store.put("unrelated", {})
    rig.run(rig.until(lambda: daemon.follower.lost_at is not None))
    rig.store.remove(f"servers/{name}")
    move_clock(daemon, MISSING_HOLD)
    rig.store.refuses = False
    known_revision(context)


@when("the time in which entries are back is over")
def hold_is_over(context):
    move_clock(context.rig.daemons[0], MISSING_HOLD)


@when("the gateway is told to stop")
def told_to_stop(context):
    rig = context.rig

    async def stop():
        context.connection = await rig.connect()
        context.connection[1].write(request("/open/x", name="before"))
        await rig.until(lambda: rig.arrivals())
        for server in rig.servers.values():
            server.released.set()
        reply = await read_reply(context.connection[0])
        assert reply.status == 200, reply
        for server in rig.servers.values():
            server.released.clear()
        rig.daemons[0].stopped.set()
        await rig.until(lambda: rig.daemons[0].gateway.is_stopping)

    rig.run(stop())


@when("a request comes on a connection that was open, and the process finishes")
def late_request(context):
    rig = context.rig
    reader, writer = context.connection

    async def finish():
        writer.write(request("/read/x", name="late"))
        await rig.until(lambda: len(rig.arrivals()) == 2)
        reading = asyncio.create_task(read_reply(reader))
        await rig.until(lambda: rig.daemons[0].gateway.pool.is_refusing)
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
        await rig.until(lambda: callers.idle)
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
    (refused,) = context.rig.logged("settings-refused")
    assert "listen" in refused["problem"], refused


@then("the health check names it")
def health_check_names_it(context):
    reply = context.rig.run(context.rig.ready_reply())
    assert b"listen" in reply.body, reply


@when("it is read again from the right file")
def right_settings(context):
    daemon = context.rig.daemons[0]
    daemon.read_settings = lambda: Ok(daemon.settings)
    daemon.reload()


@then("the health check names nothing")
def health_check_names_nothing(context):
    reply = context.rig.run(context.rig.ready_reply())
    assert b'"problems": []' in reply.body, reply


@given("{count:d} gateways that know each other")
def gateways_that_meet(context, count):
    rig = context.rig

    async def meet():
        first = await rig.add_daemon()
        for _ in range(count - 1):
            await rig.add_daemon(seeds=[first.settings.peers])
        for daemon in rig.daemons:
            mesh = daemon.gateway.mesh
            await rig.until(lambda mesh=mesh: len(mesh.queues) == count - 1)

    rig.run(meet())


@given("the store is {state} for the first gateway")
@when("the store is {state} for the first gateway")
def store_away_for_first(context, state):
    rig = context.rig
    follower = rig.daemons[0].follower

    async def refuse(*_):
        if state == "silent":
            await asyncio.Event().wait()
        return Err(ReadError("refused"))

    follower.source = Source(read_all=refuse, watch=refuse)
    rig.store.put("unrelated", {})
    known = rig.daemons[0].registry.cache
    rig.run(rig.until(lambda: known.revision >= rig.store.revision))


@then("every gateway has version {version:d} in force")
def all_in_force(context, version):
    rig = context.rig
    for daemon in rig.daemons:
        registry = daemon.registry
        rig.run(rig.until(lambda one=registry: one.configuration.version == version))


@when("version {version:d} is published")
def version_published(context, version):
    context.rig.store.put("op/config", configuration(version))


@then('the first gateway does not use "{name}"')
def first_does_not_use(context, name):
    rig = context.rig
    registry = rig.daemons[0].registry

    def names():
        return [one.id for one in registry.ready("plain")]

    rig.run(rig.until(lambda: name not in names()))


@when('the server "{name}" says that it leaves')
def says_that_it_leaves(context, name):
    context.rig.publish(name, state="draining")


@given("a gateway that starts while the store refuses it")
def starts_while_refused(context):
    rig = context.rig

    async def start():
        first = await rig.add_daemon()
        rig.store.refuses = True
        await rig.add_daemon(seeds=[first.settings.peers])

    rig.run(start())


@then("both gateways are ready")
def both_ready(context):
    for daemon in context.rig.daemons:
        assert not daemon.gateway.why_not_ready()


@when("a stranger sends the first gateway bytes that are not messages")
def stranger_speaks(context):
    rig = context.rig
    peers = rig.daemons[0].settings.peers

    async def speak():
        for data in (b"\xc1\xff", b"\x92\x63\x01", b"GET / HTTP/1.1\r\n\r\n"):
            reader, writer = await rig.connect(address=peers)
            writer.write(data)
            assert await reader.read() == b""
            writer.close()

    rig.run(speak())


@then("each connection was closed with a line in the log")
def strangers_logged(context):
    assert len(context.rig.logged("peer-spoke-wrong")) == 3


@when("a call with a long body is answered before it is read")
def early_answer(context):
    context.name = "early"
    body = b"x" * 900_000
    call = context.rig.call("/book/x", name="early", method="POST", body=body)
    context.reply = context.rig.run(call)


@given("the first answer without a length is reset")
def unframed_reset(context):
    first_send_will(context, "reset")


@when("retries are asked for at any times, around restarts of some processes")
def any_retries(context):
    context.check = check_window_budget


@then("in no window are there more than the processes may make together")
def within_window(context):
    context.check()


def check_window_budget():
    """Drive budgets of several processes through any history."""

    @settings(max_examples=100)
    @for_any(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["request", "retry", "retry", "restart"]),
                st.integers(0, 900),
            ),
            max_size=200,
        )
    )
    def check(history):
        drive_budgets(history)

    check()


def drive_budgets(history):
    """Check each window that ends with a retry; a process restarts once at most."""
    window, now = timedelta(seconds=10), START
    restarted = set()
    budgets = [WindowRetryBudget(window=window, now=now) for _ in range(3)]
    requests, retries = [], []
    for process, what, step_ms in history:
        now += timedelta(milliseconds=step_ms)
        budget = budgets[process]
        if what == "restart" and process not in restarted:
            restarted.add(process)
            budgets[process] = WindowRetryBudget(window=window, now=now)
        elif what != "retry":
            budget.note_request(now)
            requests.append(now)
        elif budget.withdraw(share=0.2, slack=4, now=now):
            retries.append(now)
            made = sum(at > now - window for at in retries)
            asked = sum(at > now - window for at in requests)
            assert made <= 0.2 * asked + 3 * 4, (made, asked)


@then("the metrics count it under its route and status")
def metrics_count(context):
    rig = context.rig
    settings_ = rig.daemons[0].settings
    address = Address(ip=settings_.ip, port=settings_.metrics_port)
    data = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    text = rig.run(rig.exchange(data, address)).body.decode()
    labels = 'by="endpoint",route="read",status="200"'
    assert f"zinniaramp_gateway_answers_total{{{labels}}}" in text
    assert 'zinniaramp_gateway_sends_total{fate="answered"}' in text
    assert "zinniaramp_gateway_configuration_version 7.0" in text
    assert "zinniaramp_gateway_store_lost 0.0" in text


@given("a log whose reader has stalled")
def stalled_log(context):
    context.reader, writer = os.pipe()
    context.writer = LogWriter(descriptor=writer)


@when("{count:d} lines are written")
def lines_written(context, count):
    for number in range(count):
        context.writer(f'{{"number": {number}}}\n')


@then("no write has waited, and the memory for them is bounded")
def memory_bounded(context):
    assert context.writer.queued_bytes <= MAX_QUEUED_BYTES
    assert context.writer.dropped > 0


@when("the reader goes on")
def reader_goes_on(context):
    context.written = b""
    while context.writer.queue:
        context.written += os.read(context.reader, MAX_QUEUED_BYTES)
        context.writer.flush()
    context.written += os.read(context.reader, MAX_QUEUED_BYTES)


@then("the log says how many lines were left out")
def log_says_dropped(context):
    *kept, last = [json.loads(line) for line in context.written.splitlines()]
    assert last["name"] == "lines-dropped"
    assert len(kept) + last["lines"] == 20000
    assert [line["number"] for line in kept] == list(range(len(kept)))


@then("explaining it from prefixed lines tells both sends and the answer")
def explained(context):
    path = Path(context.directory) / "entry.log"
    lines = [
        "  1.5 edge-1 " + json.dumps({**BASE_LINE, "name": name, **values}, default=str)
        for name, values in context.rig.events
    ]
    path.write_text("\n".join(lines))
    story = read_story(context.name, [path])
    names = [line.name for line in story]
    sends = ["endpoint-chosen", "send-ended"]
    assert names == sends + sends + ["answered"], names
    assert {line.source for line in story} == {"edge-1"}


@when(
    'version {version:d} has the workspaces "{pairs}" and routes of priority "{ranks}"'
)
def ranked_version(context, version, pairs, ranks):
    tenants = [
        {"name": name, "api_keys": [f"key-{name}"], "priority": int(priority)}
        for name, priority in (pair.split("=") for pair in pairs.split())
    ]
    routes = [
        route(f"tell-{rank}", "streaming", priority=int(rank), service="plain")
        for rank in ranks.split()
    ]
    document = configuration(version, routes=routes, tenants=tenants)
    context.rig.store.put("op/config", document)
    context.rig.run(context.rig.until(lambda: in_force(context, version)))


@then('the engine is told the ranks "{ranks}" for the workspace "{name}"')
def told_ranks(context, ranks, name):
    rig = context.rig
    for number, expected in enumerate(ranks.split()):
        lines = ("Accept: text/event-stream", "Zinniaramp-Token-Usage: 100,50")
        call = rig.call(f"/tell-{number}/x", key=f"key-{name}", lines=lines)
        assert rig.run(call).status == 200
        arrival = rig.arrivals()[-1]
        assert arrival.headers["Zinniaramp-Urgency-Level"] == expected, arrival
