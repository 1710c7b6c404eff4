"""Steps for prompt segments that end servers."""

import asyncio

from behave import given, then, when

from features.gateway.exchanges import request


@given('the model servers "{names}" are listed')
def list_model_servers(context, names):
    for name in names.split():
        context.rig.run(context.rig.add_model_server(name, slots=4))


@given(
    'the segment "{segment}" ends each server after {events:d} events '
    "of {framing} streams"
)
def end_servers(context, segment, events, framing):
    for server in context.rig.servers.values():
        server.crash_segment = segment
        server.events_before_crash = events
        server.is_unframed = framing == "unframed"


def prompt_lines(names, own):
    """Return the header lines of a prompt; its last segment is the request's own."""
    parts = ",".join(f"{name}:100" for name in (*names, own))
    return (
        f"Zinniaramp-Token-Usage: {100 * (len(names) + 1)},50",
        f"Zinniaramp-Prefix-Hash: {parts}",
    )


async def call_with_prompt(rig, number, names):
    """Send a request with a prompt to one of the gateways and return the reply."""
    name = f"p-{number}"
    data = request("/ask/x", name=name, lines=prompt_lines(names, f"own-{name}"))
    daemon = rig.daemons[number % len(rig.daemons)]
    return await rig.exchange(data, daemon.settings.callers)


def is_known_everywhere(rig):
    """Return whether all gateways know the present incarnations of all servers."""
    ports = {server.port for server in rig.servers.values()}
    return all(
        ports == {one.address.port for one in daemon.registry.endpoints.values()}
        for daemon in rig.daemons
    )


async def restart_ended_servers(rig):
    """Start all servers that have ended, and wait until the gateways know them."""
    for name, server in tuple(rig.servers.items()):
        if server.has_ended:
            await rig.restart_server(name)
    await rig.wait_until(lambda: is_known_everywhere(rig))


@when(
    '{count:d} requests with the segments "{segments}" are sent, '
    "each after the servers are back"
)
def send_with_segments(context, count, segments):
    rig = context.rig

    async def send_all():
        replies = []
        for number in range(count):
            await restart_ended_servers(rig)
            replies.append(await call_with_prompt(rig, number, segments.split()))
            await asyncio.sleep(0.05)
        return replies

    context.replies = rig.run(send_all())


@then("at most {count:d} of them reach servers")
def check_arrivals(context, count):
    assert 0 < len(context.rig.arrivals()) <= count, len(context.rig.arrivals())


@then("the other callers get 503 immediately, with a Retry-After")
def check_refused(context):
    reached = {
        arrival.headers["Zinniaramp-Request-Id"] for arrival in context.rig.arrivals()
    }
    for number, reply in enumerate(context.replies):
        if f"p-{number}" not in reached:
            assert reply.status == 503, reply
            assert float(reply.headers["retry-after"]) > 0, reply
