"""Steps for evacuated data centres, regions and cold endpoints."""

import asyncio
import json
from base64 import b64decode
from datetime import timedelta

from behave import given, then, when

from features.gateway.configurations import configuration, route
from features.gateway.exchanges import request
from features.gateway.rig import store_revision
from features.steps.gateway_steps import start_rig
from zinniaramp.standins.platform import ServerBehaviour

PLAIN_SERVICE = {"name": "plain", "health_path": "/healthz"}
WINDOW_SECONDS = 1
EVENT_SECONDS = 0.1
EVACUATE = "op/evacuate/"


def wait_for_store(context):
    """Wait until every gateway has the latest revision of the store."""
    rig = context.rig
    for daemon in rig.daemons:
        cache = daemon.registry.cache
        rig.run(
            rig.wait_until(
                lambda cache=cache: cache.revision >= store_revision(rig.store)
            )
        )


@given('the servers "{names}" are listed in the data centre "{zone}"')
def listed_in_zone(context, names, zone):
    for name in names.split():
        context.rig.run(context.rig.add_server(name, zone=zone))


@given('the servers "{names}" are listed as cold for {milliseconds:d} ms')
def listed_as_cold(context, names, milliseconds):
    for name in names.split():
        context.rig.run(context.rig.add_server(name, cold_remaining_ms=milliseconds))


@when('the data centre "{zone}" is evacuated')
@given('the data centre "{zone}" is evacuated before the gateways start')
def evacuate(context, zone):
    context.rig.store.put(EVACUATE + zone, {})
    wait_for_store(context)


@when('the evacuation of the data centre "{zone}" is revoked')
def revoke(context, zone):
    context.rig.store.remove(EVACUATE + zone)
    wait_for_store(context)


@when('the data centre "{zone}" is evacuated again and {then}')
def evacuate_again(context, zone, then):
    evacuate(context, zone)
    if then == "revoked":
        revoke(context, zone)


@when(
    '"{text}" is sent and the data centre "{zone}" is evacuated after its first event'
)
def evacuate_during_stream(context, text, zone):
    rig = context.rig
    _, path = text.split()
    context.name = "running"
    for server in rig.servers.values():
        server.event_seconds = EVENT_SECONDS

    async def play():
        reply = asyncio.create_task(rig.call(path, name=context.name))
        await rig.wait_until(lambda: rig.arrivals())
        rig.store.put(EVACUATE + zone, {})
        context.reply = await reply

    rig.run(play())
    (daemon,) = rig.daemons
    assert daemon.registry.ready("plain") == []


@when(
    '"{text}" is sent and the data centre "{zone}" is evacuated before its server '
    "crashes"
)
def evacuate_before_crash(context, text, zone):
    rig = context.rig
    _, path = text.split()
    context.name = "crashed"
    for server in rig.servers.values():
        server.behaviours.append(ServerBehaviour.HOLD)

    async def play():
        reply = asyncio.create_task(rig.call(path, name=context.name))
        await rig.wait_until(lambda: rig.arrivals())
        rig.store.put(EVACUATE + zone, {})
        registry = rig.daemons[0].registry
        revision = store_revision(rig.store)
        await rig.wait_until(lambda: registry.cache.revision >= revision)
        for server in rig.servers.values():
            if server.arrivals:
                server.crash()
            server.behaviours.clear()
        context.reply = await reply

    rig.run(play())


@given("a model server that was listed before")
def listed_model_server(context):
    context.rig.run(context.rig.add_model_server("m-1", slots=1))


@given('the model servers "{names}" are listed as cold for {milliseconds:d} ms')
def cold_model_servers(context, names, milliseconds):
    rig = context.rig
    for name in names.split():
        rig.run(rig.add_model_server(name, slots=4, cold_remaining_ms=milliseconds))


@when('{count:d} prompts "{text}" are sent to the gateways in turn')
def send_prompts(context, count, text):
    rig = context.rig
    method, path = text.split()
    lines = ("Zinniaramp-Token-Usage: 20,2", "Zinniaramp-Prefix-Hash: s:10")
    context.replies = []
    for number in range(count):
        daemon = rig.daemons[number % len(rig.daemons)]
        data = request(path, name=f"p-{path}-{number}", method=method, lines=lines)
        reply = rig.run(rig.exchange(data, daemon.settings.callers))
        context.replies.append(reply)


@then("nobody has read the cached segments of a model server")
def check_no_reads(context):
    rig = context.rig
    rig.run(asyncio.sleep(EVENT_SECONDS))
    assert all(server.reads == 0 for server in rig.servers.values())


@given('the data centres "{pairs}"')
def data_centres(context, pairs):
    rig = start_rig(context)
    rig.regions = dict(pair.split("=") for pair in pairs.split())


@given(
    'a configuration whose route allows "{routes}" and whose workspace allows '
    '"{workspaces}"'
)
@given(
    'a configuration whose route allows "{routes}" and whose workspace allows ""',
)
@given(
    'a configuration whose route allows "" and whose workspace allows "{workspaces}"',
)
def bound_configuration(context, routes="", workspaces=""):
    read = route("read", "safe", attempts=2)
    tenant = {"name": "workshop", "api_keys": ["key-1"]}
    if routes:
        read["allowed_regions"] = routes.split()
    if workspaces:
        tenant["allowed_regions"] = workspaces.split()
    document = configuration(routes=[read], tenants=[tenant])
    context.rig.store.put("op/config", document)


@given(
    "a store whose service bears {rate:d} requests a second while it is cold for "
    "{milliseconds:d} ms"
)
def cold_service(context, rate, milliseconds):
    context.cold_time = timedelta(milliseconds=milliseconds)
    rig = start_rig(context)
    rig.cold_overshoot, rig.cold_slack = 1.5, 5.0
    cold = {"cold_start_s": milliseconds / 1000, "cold_per_s": float(rate)}
    engine = {"slots": 4, "kv_capacity_tokens": 60_000}
    services = [
        PLAIN_SERVICE | cold,
        PLAIN_SERVICE | cold | {"name": "model", "engine": engine},
    ]
    document = configuration(services=services)
    document["routes"].append(route("patient", "safe", timeout_ms=30_000))
    rig.store.put("op/config", document)


@given("the service has no cold behaviour")
def no_cold_behaviour(context):
    service = PLAIN_SERVICE | {"cold_start_s": 0.0, "cold_per_s": 0.0}
    document = configuration(version=8, services=[service])
    context.rig.store.put("op/config", document)


@then("{count:d} calls in a row succeed")
def check_calls(context, count):
    for number in range(count):
        call = context.rig.call("/read/x", name=f"row-{number}")
        assert context.rig.run(call).status == 200


@when('the server "{name}" is listed while requests come')
def listed_later(context, name):
    rig = context.rig
    rig.run(rig.add_server(name))
    wait_for_store(context)


@when('the server "{name}" is warm')
def wait_until_warm(context, name):
    context.rig.run(asyncio.sleep(context.cold_time.total_seconds()))


def forget_arrivals(context):
    for server in context.rig.servers.values():
        server.arrivals.clear()


@when('the server "{name}" starts again with the same id')
def starts_again(context, name):
    forget_arrivals(context)
    context.rig.publish(name, born=2000)
    wait_for_store(context)


@when('the entry of "{name}" says that it is cold for {milliseconds:d} ms')
def entry_says_cold(context, name, milliseconds):
    forget_arrivals(context)
    item = context.rig.store.items[f"servers/{name}"]
    entry = json.loads(b64decode(item["value"]))
    entry |= {"cold_remaining_ms": milliseconds, "sequence": entry["sequence"] + 1}
    context.rig.store.put(f"servers/{name}", entry)
    wait_for_store(context)


@when('the answers of "{name}" say that it is cold for {milliseconds:d} ms')
def answers_say_cold(context, name, milliseconds):
    context.rig.servers[name].cold_ms = milliseconds


@given("the gateways have had time to learn of each other")
def wait_for_members(context):
    rig = context.rig

    def is_known():
        members = [daemon.gateway.mesh.members() or () for daemon in rig.daemons]
        return all(len(known) == len(rig.daemons) for known in members)

    rig.run(rig.wait_until(is_known))


@then('in no second "{name}" received over {count:d} requests')
def check_rate(context, name, count):
    times = sorted(one.received_at for one in context.rig.servers[name].arrivals)
    for first in times:
        seen = sum(first <= time < first + WINDOW_SECONDS for time in times)
        assert seen <= count, (seen, times)


@then('"{name}" received at least {count:d} requests')
def check_least(context, name, count):
    seen = len(context.rig.servers[name].arrivals)
    assert seen >= count, seen


@then('"{name}" received at most {count:d} requests')
def check_most(context, name, count):
    seen = len(context.rig.servers[name].arrivals)
    assert seen <= count, seen


def return_times(context):
    refused = [reply for reply in context.replies if reply.status == 503]
    return [float(reply.headers["retry-after"]) for reply in refused]


@then(
    "those times are spread over more than {spread:d} ms and end {latest:d} ms from "
    "now at the latest"
)
def check_return_times(context, spread, latest):
    times = return_times(context)
    assert (max(times) - min(times)) * 1000 > spread, times
    assert max(times) * 1000 <= latest, times


@when("callers with a deadline of {seconds:d} s come")
def patient_callers(context, seconds):
    rig = context.rig
    context.replies = []
    for number in range(40):
        call = rig.call("/patient/x", name=f"w-{number}", deadline_ms=seconds * 1000)
        context.replies.append(rig.run(call))


@then("they begin when the first server is warm")
def check_warm_then(context):
    restrictions = context.rig.daemons[0].gateway.pool.restrictions
    left = min(restrictions.cold_time(name) for name in restrictions.cold_names())
    assert min(return_times(context)) >= left.total_seconds()


@when("every server closes its connections")
def close_connections(context):
    for server in context.rig.servers.values():
        server.behaviours.extend([ServerBehaviour.CLOSE] * 100)


@then('the server "{name}" was not asked for its cached segments')
def check_not_asked(context, name):
    servers = context.rig.servers
    assert servers[name].reads == 0
    others = [server for key, server in servers.items() if key != name]
    assert all(server.reads for server in others)
