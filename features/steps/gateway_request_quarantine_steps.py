"""Steps for requests that end the servers which run them."""

import asyncio

from behave import given, then, when

from features.gateway.configurations import configuration
from features.gateway.exchanges import request
from features.steps.gateway_quarantine_steps import prompt_lines, restart_ended_servers
from features.steps.gateway_steps import start_rig
from zinniaramp.standins.platform import CrashRequest

CRASH_BODY = b"bad"
NAME_PREFIX = "crash-"
"""Start of the ids of the repeated request."""


@given('a store with the usual configuration and the workspaces "{names}"')
def store_with_workspaces(context, names):
    tenants = [{"name": one, "api_keys": [f"key-{one}"]} for one in names.split()]
    start_rig(context).store.put("op/config", configuration(tenants=tenants))


@given('the request "{text}" of "{workspace}" ends each server within {seconds:g} s')
def end_servers(context, text, workspace, seconds):
    context.method, context.path = text.split()
    context.workspace = workspace
    context.crash_request = CrashRequest(
        target=context.path,
        workspace=workspace,
        body=b"" if context.method == "GET" else CRASH_BODY,
        seconds=seconds,
    )
    for server in context.rig.servers.values():
        server.crash_request = context.crash_request


def build(context, name, *, path=None, workspace=None, body=None):
    """Return the bytes of the request that ends servers, or of one like it."""
    lines = prompt_lines(("common",), "own") if context.path == "/ask/x" else ()
    return request(
        path or context.path,
        name=name,
        method=context.method,
        body=context.crash_request.body if body is None else body,
        key=f"key-{workspace or context.workspace}",
        lines=lines,
    )


def build_sound(context, prefix):
    """Return requests that differ from the crashing one in one respect each."""
    similar = [
        build(context, f"{prefix}-path", path=context.path[:-1] + "y"),
        build(context, f"{prefix}-workspace", workspace="other"),
    ]
    if context.method == "POST":
        similar.append(build(context, f"{prefix}-body", body=b"sound"))
    return similar


@when(
    "it is sent {count:d} times, with sound requests beside it, "
    "each after the servers are back"
)
def send_repeatedly(context, count):
    rig = context.rig

    async def send_all():
        context.replies = []
        for number in range(count):
            await restart_ended_servers(rig)
            daemon = rig.daemons[number % len(rig.daemons)]
            address = daemon.settings.callers
            sound = build_sound(context, f"sound-{number}")
            beside = [asyncio.create_task(rig.exchange(one, address)) for one in sound]
            data = build(context, f"{NAME_PREFIX}{number}")
            context.replies.append(await rig.exchange(data, address))
            await asyncio.gather(*beside)
            await asyncio.sleep(0.05)

    rig.run(send_all())


def crash_arrivals(rig):
    """Return the ids of the sends of the request that ends servers."""
    names = [one.headers["Zinniaramp-Request-Id"] for one in rig.arrivals()]
    return [name for name in names if name.startswith(NAME_PREFIX)]


@then("at most {count:d} sends of it reach servers")
def check_sends(context, count):
    sends = crash_arrivals(context.rig)
    assert 0 < len(sends) <= count, len(sends)


@then("its other callers get 503 immediately, with a Retry-After")
def check_refused(context):
    reached = set(crash_arrivals(context.rig))
    for number, reply in enumerate(context.replies):
        if f"{NAME_PREFIX}{number}" not in reached:
            assert reply.status == 503, reply
            assert float(reply.headers["retry-after"]) > 0, reply


@then("the sound requests are answered by every gateway")
def check_sound(context):
    rig = context.rig
    rig.run(restart_ended_servers(rig))
    for number, daemon in enumerate(rig.daemons):
        for data in build_sound(context, f"last-{number}"):
            reply = rig.run(rig.exchange(data, daemon.settings.callers))
            assert reply.status == 200, reply
