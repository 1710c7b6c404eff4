"""Steps for the gateway: stand-ins, requests, and checks of replies."""

import asyncio

from behave import given, then, when

from features.gateway.configurations import configuration
from features.gateway.exchanges import request
from features.gateway.rig import Rig
from zinniaramp.standins.platform import ServerBehaviour, expected_body, expected_events

FORGED_HEADERS = (
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
"""Headers that the gateway must replace or drop, and ``X-Kept``, which it forwards."""


def start_rig(context):
    """Start a rig with an empty store and return it."""
    rig = context.rig = Rig()
    context.end_fleet = rig.close
    rig.run(rig.start())
    return rig


@given("an empty store")
def empty_store(context):
    start_rig(context)


@given("a store with the usual configuration")
def usual_store(context):
    start_rig(context).store.put("op/config", configuration())


@given("a store with the usual configuration and pages of one item")
def paged_store(context):
    usual_store(context)
    context.rig.store.page_items = 1


@given('the servers "{names}" are listed')
def servers_listed(context, names):
    for name in names.split():
        context.rig.run(context.rig.add_server(name))


@given('the server "{name}" is listed at the address of "{other}"')
def listed_at_same_address(context, name, other):
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


@given('every server behaves as "{behaviour}"')
def every_server_behaves(context, behaviour):
    for server in context.rig.servers.values():
        server.behaviours.extend([ServerBehaviour(behaviour)] * 10)


@given('the server of the first send behaves as "{behaviour}"')
def first_server_behaves(context, behaviour):
    # All servers share one list, which the first one to receive a request consumes.
    shared = context.rig.servers["s-1"].behaviours
    shared.append(ServerBehaviour(behaviour))
    for server in context.rig.servers.values():
        server.behaviours = shared


def send(context, text, **fields):
    """Send a request given as method and path, and wait for its reply."""
    method, path = text.split()
    context.name = f"r-{len(context.rig.events)}"
    call = context.rig.call(path, name=context.name, method=method, **fields)
    context.reply = context.rig.run(call)


@when('"{text}" is sent')
def is_sent(context, text):
    send(context, text)


@when('"{text}" is sent with a deadline of {milliseconds:d} ms')
def is_sent_with_deadline(context, text, milliseconds):
    send(context, text, deadline_ms=milliseconds)


@when('"{text}" is sent with the key "{key}"')
@when('"{text}" is sent with the key ""')
def is_sent_with_key(context, text, key=""):
    send(context, text, key=key)


@when('"{text}" is sent with the header "{line}"')
def is_sent_with_header(context, text, line):
    send(context, text, lines=(line,))


@when('"{text}" is sent with forged headers')
def is_sent_with_forged_headers(context, text):
    send(context, text, lines=FORGED_HEADERS)


@when('"{text}" is sent and its caller disconnects')
def caller_disconnects(context, text):
    rig = context.rig
    method, path = text.split()

    async def disconnect():
        _, writer = await rig.connect()
        writer.write(request(path, method=method))
        await rig.wait_until(lambda: rig.arrivals())
        writer.close()

    rig.run(disconnect())


@when('"{text}" is sent and the server continues after a pause')
def continues_after_pause(context, text):
    rig = context.rig
    context.name = "held"
    _, path = text.split()

    async def hold():
        reply_task = asyncio.create_task(rig.call(path, name=context.name))
        await rig.wait_until(lambda: rig.arrivals())
        # A complete request in between gives the event loop many iterations.
        for server in rig.servers.values():
            server.behaviours.clear()
        assert (await rig.call("/read/x", name="meanwhile")).status == 200
        for server in rig.servers.values():
            server.released.set()
        context.reply = await reply_task
        rig.drop_arrivals("meanwhile")

    rig.run(hold())


@when("{count:d} calls are sent")
def calls_sent(context, count):
    for number in range(count):
        name = f"many-{number}"
        reply = context.rig.run(context.rig.call("/read/x", name=name))
        assert reply.status == 200, reply


@when("a request with a chunked body is sent")
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
def reply_complete(context, status):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.body == expected_body(context.name), reply
    assert reply.is_complete
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
    assert context.reply.is_complete
    assert context.reply.body == expected_events(context.name, 1, 4), context.reply


@then("the reply is incomplete and ends after a complete event")
def reply_incomplete(context):
    assert not context.reply.is_complete
    assert context.reply.body == expected_events(context.name, 1, 2), context.reply


@then("the request reached {count:d} server")
@then("the request reached {count:d} servers")
def reached_servers(context, count):
    assert len(context.rig.arrivals()) == count, context.rig.arrivals()


@then("no server has run it")
def none_ran(context):
    assert not any(arrival.was_executed for arrival in context.rig.arrivals())


@when('"{text}" is sent repeatedly until the ejection of "{name}" is logged')
def sent_until_ejected(context, text, name):
    rig = context.rig
    context.replies = []
    method, path = text.split()

    async def send():
        while not rig.logged_events("endpoint-left-out"):
            call = f"until-{len(context.replies)}"
            context.replies.append(await rig.call(path, name=call, method=method))

    rig.run(send())
    line = rig.logged_events("endpoint-left-out")[0]
    assert line["endpoint"] == f"{name}@1000", line


@then("every request succeeded")
def every_request_succeeded(context):
    assert all(reply.status == 200 for reply in context.replies), context.replies


@then("the reply has a Retry-After header")
def has_retry_after(context):
    assert float(context.reply.headers["retry-after"]) > 0


@then("its Retry-After is at most {milliseconds:d} ms")
def retry_after_at_most(context, milliseconds):
    assert 0 < float(context.reply.headers["retry-after"]) <= milliseconds / 1000


@then("one server received it with its method, path, query and id unchanged")
def received_unchanged(context):
    (arrival,) = context.rig.arrivals()
    assert (arrival.method, arrival.target) == ("GET", "/read/x?y=1")
    assert arrival.headers["Zinniaramp-Request-Id"] == context.name


@then("the server received the complete body")
def received_body(context):
    (arrival,) = context.rig.arrivals()
    assert arrival.body == b"fourend"


@then("the server's run was cancelled")
def run_cancelled(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: any(one.was_disconnected for one in rig.arrivals())))


@then("the server received a deadline of at most {milliseconds:d} ms")
def received_deadline(context, milliseconds):
    (arrival,) = context.rig.arrivals()
    assert 0 < int(arrival.headers["Zinniaramp-Deadline-Ms"]) <= milliseconds


@then("the caller's disconnect is logged as the cause, and nothing else was sent")
def cancelled_by_caller(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: rig.logged_events("caller-left")))
    assert not rig.logged_events("request-refused")
    assert not rig.logged_events("send-ended")
    assert len(rig.arrivals()) == 1, rig.arrivals()


@then("the reply is {status:d} and the request reached 1 server")
def reply_after_one_server(context, status):
    assert context.reply.status == status, context.reply
    assert len(context.rig.arrivals()) == 1, context.rig.arrivals()


@then("no event is forwarded twice, and the reply is not a complete success")
def no_event_twice(context):
    lines = context.reply.body.splitlines()
    ids = [int(line[3:]) for line in lines if line.startswith(b"id:")]
    assert ids == sorted(set(ids)), context.reply
    assert context.reply.status != 200 or not context.reply.is_complete, context.reply


@then("the second send carries the id of the last forwarded event")
def sent_last_event_id(context):
    first, second = context.rig.arrivals()
    assert "Last-Event-Id" not in first.headers
    assert second.headers["Last-Event-Id"] == "2"


@then("the server received the gateway's values instead of the forged ones")
def forged_headers_replaced(context):
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


@then("the request is refused or its connection closed, and it reached no server")
def refused_or_closed(context):
    assert context.reply.status in (0, 400, 413), context.reply
    assert not context.rig.arrivals()


@then("its health check answers {status:d}")
def health_check(context, status):
    assert context.rig.run(context.rig.readiness_status()) == status


@when("a request with a long body is answered before the body is read")
def early_answer(context):
    context.name = "early"
    body = b"x" * 900_000
    call = context.rig.call("/book/x", name="early", method="POST", body=body)
    context.reply = context.rig.run(call)


@given("the connection of the first answer without a length is reset")
def unframed_reset(context):
    first_server_behaves(context, "reset")


@then("the reply is not a complete success")
def check_no_complete_success(context):
    reply = context.reply
    assert not (reply.status == 200 and reply.is_complete), reply


@when('"{text}" is sent and the other server answers')
def send_with_good_server(context, text):
    behaviours = list(context.rig.servers.values())[0].behaviours
    first = behaviours[0]
    for server in context.rig.servers.values():
        server.behaviours.clear()
    first_server_behaves(context, first.value)
    send(context, text)


@then(
    "the server that sent bytes without an end was disconnected after "
    "{megabytes:d} MB at most"
)
def check_disconnected(context, megabytes):
    rig = context.rig
    servers = rig.servers.values()
    arrivals = [arrival for server in servers for arrival in server.arrivals]
    assert arrivals
    rig.run(rig.wait_until(lambda: all(one.was_disconnected for one in arrivals)))
    sent = sum(server.endless_bytes for server in servers)
    assert sent <= megabytes * 1024 * 1024, sent


@given("a model server whose list of cached segments never ends")
def list_endless_server(context):
    rig = context.rig
    rig.run(rig.add_model_server("m-1", slots=1, has_endless_reads=True))


@then("the server that sent the list was disconnected after {megabytes:d} MB at most")
def check_list_closed(context, megabytes):
    server = context.rig.servers["m-1"]
    context.rig.run(context.rig.wait_until(lambda: server.endless_answers))
    assert server.endless_bytes <= megabytes * 1024 * 1024, server.endless_bytes
