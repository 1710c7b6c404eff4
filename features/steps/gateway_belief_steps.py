"""Steps about what the gateway believes."""

from datetime import timedelta

from behave import then, when

from features.gateway.rig import (
    KEY,
    configuration,
    in_force,
    known_revision,
    route,
)

MISSING_HOLD = timedelta(seconds=3)


@when('version {version:d} takes the key "{key}" away')
def key_taken(context, version, key):
    context.rig.store.put("op/config", configuration(version, keys=["other-key"]))
    context.rig.run(context.rig.wait_until(lambda: in_force(context, version)))


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
    (refused,) = context.rig.logged_events("item-refused")
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
    rig.run(rig.wait_until(lambda: follower.unreachable_since is not None))
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
    rig.run(rig.wait_until(lambda: daemon.follower.unreachable_since is not None))
    rig.store.remove(f"servers/{name}")
    move_clock(daemon, MISSING_HOLD)
    rig.store.refuses = False
    known_revision(context)


@when("the time in which entries are back is over")
def hold_is_over(context):
    move_clock(context.rig.daemons[0], MISSING_HOLD)


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
    context.rig.run(context.rig.wait_until(lambda: in_force(context, version)))


@then('the engine is told the ranks "{ranks}" for the workspace "{name}"')
def told_ranks(context, ranks, name):
    rig = context.rig
    for number, expected in enumerate(ranks.split()):
        lines = ("Accept: text/event-stream", "Zinniaramp-Token-Usage: 100,50")
        call = rig.call(f"/tell-{number}/x", key=f"key-{name}", lines=lines)
        assert rig.run(call).status == 200
        arrival = rig.arrivals()[-1]
        assert arrival.headers["Zinniaramp-Urgency-Level"] == expected, arrival
