"""Steps for endpoints of several software versions in one service."""

from dataclasses import replace

from behave import given, then, when

from features.gateway.rig import HOST_BOUNDS, read_reply, request
from features.steps.gateway_steps import first_server_behaves
from zinniaramp.gateway.core import MIN_GATEWAY_COUNT
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
