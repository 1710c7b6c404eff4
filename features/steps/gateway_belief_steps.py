"""Steps for the gateway's view of configuration and endpoints."""

from datetime import timedelta

from behave import then, when

from features.gateway.configurations import configuration, route
from features.gateway.exchanges import API_KEY
from features.gateway.rig import in_force, wait_for_latest_revision

CLOCK_ADVANCE = timedelta(seconds=3)
"""Advance of the clocks; longer than the rig's `endpoint_relist_window`."""


@when('configuration version {version:d} removes the API key "{key}"')
def remove_key(context, version, key):
    context.rig.store.put("op/config", configuration(version, keys=["other-key"]))
    context.rig.run(context.rig.wait_until(lambda: in_force(context, version)))


@when("configuration version {version:d} has the API key again")
def publish_old_version_with_key(context, version):
    context.rig.store.put("op/config", configuration(version, keys=[API_KEY]))
    wait_for_latest_revision(context)


@when("configuration version {version:d} has a route without a type")
def publish_invalid_version(context, version):
    invalid_route = route("read", "safe")
    del invalid_route["route_type"]
    document = configuration(version, routes=[invalid_route])
    context.rig.store.put("op/config", document)
    wait_for_latest_revision(context)


@then("the log states the invalid field and the remedy")
def check_log_states_field(context):
    (refused,) = context.rig.logged_events("item-refused")
    assert "routes[0].route_type = 'None'" in refused["problem"]
    assert "correct it" in refused["problem"]


@when('the server "{name}" reports that it is draining and then that it is ready')
def report_draining_then_ready(context, name):
    context.rig.publish(name, state="draining")
    wait_for_latest_revision(context)
    context.rig.publish(name, state="ready")
    wait_for_latest_revision(context)


@then('no request reached the server "{name}"')
def check_no_request_reached(context, name):
    assert not context.rig.servers[name].arrivals


@when('the server "{name}" drains and restarts')
def restart_server(context, name):
    context.rig.publish(name, state="draining")
    wait_for_latest_revision(context)
    context.rig.publish(name, born=2000)
    wait_for_latest_revision(context)


@when("invalid endpoint entries and then a valid one are published")
def publish_invalid_entries(context):
    rig = context.rig
    rig.store.put_bytes("servers/x-1", b"\xff\x00")
    rig.store.put("servers/x-2", {"service": "plain"})
    rig.publish("s-1", state="resting")
    rig.publish("s-1", slots="6")
    rig.publish("s-1", born=1.5)
    rig.publish("s-1", address="nowhere")
    wait_for_latest_revision(context)
    assert not rig.daemons[0].registry.endpoints
    rig.publish("s-1")
    wait_for_latest_revision(context)


@when('the store compacts its history in an outage in which "{name}" is removed')
def compact_history(context, name):
    rig = context.rig
    rig.store.refuses = True
    rig.store.wake_watches()
    follower = rig.daemons[0].follower
    rig.store.put("unrelated", {})
    rig.run(rig.wait_until(lambda: follower.unreachable_since is not None))
    rig.store.remove(f"servers/{name}")
    rig.store.compact()
    rig.store.refuses = False
    wait_for_latest_revision(context)


@then('the gateway lists only the server "{name}"')
def check_listed_servers(context, name):
    endpoints = context.rig.daemons[0].registry.endpoints.values()
    assert [one.id for one in endpoints] == [name]


def advance_clock(daemon, duration):
    """Advance the clocks that a daemon uses to measure an outage."""
    clock = daemon.registry.clock

    def advanced_clock():
        return clock() + duration

    daemon.registry.clock = advanced_clock
    daemon.registry.freshness.clock = advanced_clock
    daemon.follower.clock = advanced_clock


@when('the store recovers from an outage in which the entry of "{name}" expired')
def recover_from_outage(context, name):
    rig = context.rig
    daemon = rig.daemons[0]
    rig.store.refuses = True
    rig.store.put("unrelated", {})
    rig.run(rig.wait_until(lambda: daemon.follower.unreachable_since is not None))
    rig.store.remove(f"servers/{name}")
    advance_clock(daemon, CLOCK_ADVANCE)
    rig.store.refuses = False
    wait_for_latest_revision(context)


@when("the grace period of expired entries is over")
def end_grace_period(context):
    advance_clock(context.rig.daemons[0], CLOCK_ADVANCE)


@when(
    'configuration version {version:d} has the workspaces "{pairs}" '
    'and routes of priority "{ranks}"'
)
def publish_priorities(context, version, pairs, ranks):
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
    context.rig.run(context.rig.wait_until(lambda: in_force(context, version)))


@then('the engine receives the urgency levels "{ranks}" for the workspace "{name}"')
def check_urgency_levels(context, ranks, name):
    rig = context.rig
    for number, expected in enumerate(ranks.split()):
        lines = ("Accept: text/event-stream", "Zinniaramp-Token-Usage: 100,50")
        call = rig.call(f"/tell-{number}/x", key=f"key-{name}", lines=lines)
        assert rig.run(call).status == 200
        arrival = rig.arrivals()[-1]
        assert arrival.headers["Zinniaramp-Urgency-Level"] == expected, arrival
