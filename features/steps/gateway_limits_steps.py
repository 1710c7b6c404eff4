"""Steps for servers that name a limit of requests."""

from datetime import timedelta

from behave import given, then, when

from features.gateway.exchanges import request

WINDOW_SECONDS = 4
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5


@given('the server "{name}" names the limit "{limit}" in all answers')
@when('the server "{name}" names the limit "{limit}" in all answers')
@when('the server "{name}" names no limit any more')
def name_limit(context, name, limit=""):
    context.rig.servers[name].limit = limit


async def send_in_turn(rig, count, text, prefix):
    """Send requests to the gateways in turn and return the replies."""
    method, path = text.split()
    replies = []
    for number in range(count):
        daemon = rig.daemons[number % len(rig.daemons)]
        data = request(path, name=f"{prefix}-{number}", method=method)
        replies.append(await rig.exchange(data, daemon.settings.callers))
    return replies


@when('{count:d} requests "{text}" are sent to the gateways in turn')
def send_requests(context, count, text):
    context.rounds = getattr(context, "rounds", 0) + 1
    rig = context.rig
    context.replies = rig.run(send_in_turn(rig, count, text, f"l{context.rounds}"))


def highest_count(arrivals):
    """Return the largest number of arrivals within the window."""
    times = sorted(one.received_at for one in arrivals)
    return max(
        sum(first <= time < first + WINDOW_SECONDS for time in times) for first in times
    )


@then('in no 4 s "{name}" received over 1.5 times its limit and 5 requests')
def check_limit(context, name):
    server = context.rig.servers[name]
    allowed = LIMIT_FACTOR * WINDOW_SECONDS * float(server.limit) + EXTRA_REQUESTS
    seen = highest_count(server.arrivals)
    assert seen <= allowed, (seen, allowed)


@then("all callers got the server's answer")
def check_all_answered(context):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {200}, statuses


@then("a caller got the server's answer")
def check_any_answered(context):
    statuses = [reply.status for reply in context.replies]
    assert 200 in statuses, statuses


@then("the other callers get 503 with a time when the server takes a request")
def check_refused(context):
    refused = [reply for reply in context.replies if reply.status != 200]
    assert refused
    for reply in refused:
        assert reply.status == 503, reply
        assert float(reply.headers["retry-after"]) > 0, reply


@when("{seconds:d} seconds pass for the limits of all gateways")
def pass_time(context, seconds):
    for daemon in context.rig.daemons:
        limits = daemon.gateway.pool.restrictions.shared_limits
        clock = limits.clock
        limits.clock = lambda clock=clock: clock() + timedelta(seconds=seconds)


@when("another gateway starts")
def start_another(context):
    rig = context.rig
    seeds = [rig.daemons[0].settings.peers]
    rig.run(rig.add_daemon(seeds=seeds))


def known_limits(daemon, name):
    """Return the limits that a gateway knows for a server."""
    limits = daemon.gateway.pool.restrictions.shared_limits.limits
    return [one.rate for key, one in limits.items() if key.startswith(f"{name}@")]


@then('it knows a limit of {rate:g} for the server "{name}"')
def check_known(context, rate, name):
    rig = context.rig
    rig.run(rig.wait_until(lambda: known_limits(rig.daemons[-1], name) == [rate]))


@then('the gateways know the limits "{rates}" for the server "{name}"')
@then('the gateways know the limits "" for the server "{name}"')
def check_all_know(context, name, rates=""):
    rig = context.rig
    expected = [float(rate) for rate in rates.split()]
    for daemon in rig.daemons:
        rig.run(rig.wait_until(lambda one=daemon: known_limits(one, name) == expected))
