"""Steps for endpoints of several software versions in one service."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from behave import given, then, when

from features.gateway.exchanges import read_reply, request
from features.gateway.rig import HOST_BOUNDS
from features.steps.gateway_steps import first_server_behaves
from zinniaramp.clock import monotonic_clock
from zinniaramp.gateway.core import MIN_GATEWAY_COUNT
from zinniaramp.platform.store import make_store_source
from zinniaramp.resumption import StreamOrigin, StreamOrigins, origin_key
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import expected_events


@given('the servers "{names}" with their software versions')
def list_servers_with_versions(context, names):
    context.versions = dict(name.split("=") for name in names.split())
    for name, version in context.versions.items():
        context.rig.run(context.rig.add_server(name, version=version))


@given("a gateway with a retry budget of {count:d}")
def start_with_budget(context, count):
    # The budget is divided by the smallest number of gateways that is assumed.
    bounds = replace(HOST_BOUNDS, retry_slack=count * MIN_GATEWAY_COUNT)
    context.rig.run(context.rig.add_daemon(bounds=bounds))


@when('"{text}" is sent and its endpoint crashes after two events')
def crash_during_stream(context, text):
    rig = context.rig
    method, path = text.split()
    context.name = "crashed"

    def crash_endpoint():
        for server in rig.servers.values():
            server.behaviours.clear()
            if server.arrivals:
                server.crash()

    async def send():
        reader, writer = await rig.connect()
        writer.write(request(path, name=context.name, method=method))
        context.reply = await read_reply(reader, on_headers=crash_endpoint)
        writer.close()

    rig.run(send())


@when(
    '{count:d} requests "{text}" are sent, and the first endpoint of each breaks its '
    "stream off"
)
def break_streams(context, count, text):
    rig = context.rig
    method, path = text.split()
    context.replies = {}
    for number in range(count):
        for server in rig.servers.values():
            server.answer_started.clear()
        first_server_behaves(context, "tear")
        name = f"broken-{number}"
        call = rig.call(path, name=name, method=method)
        context.replies[name] = rig.run(call)


@then("each is complete, from {count:d} endpoints of one software version")
def check_one_version(context, count):
    for name, reply in context.replies.items():
        assert reply.status == 200, reply
        assert reply.body == expected_events(name, 1, 4), reply
        servers = servers_reached(context.rig, name)
        assert len(servers) == count, servers
        assert len({context.versions[one] for one in servers}) == 1, servers


def servers_reached(rig, request_id):
    """Return the names of the servers that a request has reached."""
    return {
        name
        for name, server in rig.servers.items()
        for arrival in server.arrivals
        if arrival.headers["Zinniaramp-Request-Id"] == request_id
    }


@when(
    'the server "{name}" leaves, the history {dropped}, and {count:d} other items '
    "change"
)
def change_entries(context, name, dropped, count):
    store = context.rig.store
    if dropped == "is dropped before it":
        store.compact()
    context.rig.publish(name, state="draining", version=context.versions[name])
    store.remove(f"servers/{name}")
    if dropped == "is dropped after it":
        store.compact()
    for number in range(count):
        store.put(f"unrelated/{number}", {})
    if dropped == "is dropped at last":
        store.compact()


@when("the history of the servers is read")
def read_history(context):
    rig = context.rig
    source = make_store_source(
        Address(ip="127.0.0.1", port=rig.store.port), clock=monotonic_clock()
    )
    context.history = rig.run(source.read_history()).ok_value


@then(
    "it has {changes:d} changes, it is {complete}, and at most {count:d} calls were "
    "made"
)
def check_history(context, changes, complete, count):
    history = context.history
    assert len(history.items) == changes, history
    assert history.is_full == (complete == "that of the whole store"), history
    assert history.is_empty == complete.startswith("empty"), history
    assert len(context.rig.store.calls) <= count, context.rig.store.calls


@given("the origins of streams")
def make_origins(context):
    context.now = datetime(2026, 1, 1, tzinfo=UTC)
    context.origins = StreamOrigins(clock=lambda: context.now)


def record_origin(context, request_id, workspace, version):
    """Record that a workspace's request began a stream at a version."""
    origin = StreamOrigin(service="plain", version=version)
    key = origin_key(workspace, request_id)
    context.origins.record(key, origin, is_own=True)


@when(
    'the request "{request_id}" of "{workspace}" begins a stream at "{one}" and one '
    'at "{other}"'
)
def begin_two_streams(context, request_id, workspace, one, other):
    record_origin(context, request_id, workspace, one)
    record_origin(context, request_id, workspace, other)


@when('the request "{request_id}" of "{workspace}" begins a stream at "{version}"')
def begin_stream(context, request_id, workspace, version):
    record_origin(context, request_id, workspace, version)


@then('the origin of "{request_id}" of "{workspace}" is ambiguous')
def check_ambiguous(context, request_id, workspace):
    record = context.origins.find(origin_key(workspace, request_id))
    assert record.origin is None, record


@then('the origin of "{request_id}" of "{workspace}" is "{version}"')
def check_origin(context, request_id, workspace, version):
    record = context.origins.find(origin_key(workspace, request_id))
    assert record.origin.version == version, record


@then("nothing is known of any of them after {seconds:d} s")
def check_forgotten(context, seconds):
    context.now += timedelta(seconds=seconds)
    for workspace in ("workshop", "archive"):
        assert context.origins.find(origin_key(workspace, "a")) is None
    assert not context.origins.records
