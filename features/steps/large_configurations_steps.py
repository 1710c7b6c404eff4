"""Steps for large configurations that arrive over narrow links."""

import asyncio
import json

from behave import given, then, when
from result import Ok

from features.gateway.configurations import configuration, route
from features.steps.gateway_freshness_steps import wait_for_watches
from features.support.narrow_link import NarrowLink
from zinniaramp.platform.decoder import DocumentDecoder
from zinniaramp.registry import Item, Snapshot, StoreRevision
from zinniaramp.sockets import Address

LARGE_ROUTES = 1700
LINK_BYTES_PER_SECOND = 200_000
WIDE_MBPS, NARROW_MBPS = 100.0, 1.6
"""Rates of the links in the settings; the narrow one is the one that is played."""


def large_configuration(version):
    """Return a configuration with many routes beside the usual ones."""
    document = configuration(version)
    document["routes"] += [
        route(f"more-{number}", "safe") for number in range(LARGE_ROUTES)
    ]
    return document


def make_link(context):
    """Return a narrow link to the store."""
    link = context.link = NarrowLink(
        port=context.rig.store.port, bytes_per_second=LINK_BYTES_PER_SECOND
    )
    context.add_cleanup(link.stop)
    return Address(ip="127.0.0.1", port=link.port)


async def add_gateway(context, *, wait=True, **fields):
    """Start a gateway behind a narrow link."""
    return await context.rig.add_daemon(store=make_link(context), wait=wait, **fields)


@given("a gateway behind a narrow link")
def start_gateway(context):
    context.rig.run(add_gateway(context))
    wait_for_watches(context.rig)


@given("a large configuration with version {version:d}")
def put_large(context, version):
    context.rig.store.put("op/config", large_configuration(version))


@when("a gateway starts behind a narrow link")
def start_late_gateway(context):
    context.rig.run(add_gateway(context, wait=False))


@given("a gateway with a wide link, and one behind a narrow link")
def start_two_gateways(context):
    rig = context.rig

    async def start():
        wide = await rig.add_daemon(link_mbps=WIDE_MBPS)
        narrow = await add_gateway(
            context, link_mbps=NARROW_MBPS, seeds=[wide.settings.peers]
        )
        await rig.wait_until(narrow.gateway.mesh.has_wider_peer)

    rig.run(start())
    wait_for_watches(rig)


@when("a large configuration with version {version:d} is published")
def publish_large(context, version):
    context.carried_before = context.link.carried
    put_large(context, version)


@when('the server "{name}" reports that it is draining once the configuration arrives')
def drain_during_answer(context, name):
    rig = context.rig
    rig.run(rig.wait_until(lambda: rig.logged_events("large-answer-began")))
    rig.publish(name, state="draining")


@when("the link loses an answer with a large configuration after {count:d} bytes")
def lose_answer(context, count):
    context.link.breaks_at = context.link.carried + count
    publish_large(context, 9)


@when("the link resets an answer with a large configuration after {count:d} bytes")
def reset_answer(context, count):
    context.link.is_reset = True
    lose_answer(context, count)


@then("the gateway has version {version:d}")
def wait_for_version(context, version):
    rig = context.rig
    registry = rig.daemons[-1].registry
    rig.run(
        rig.wait_until(
            lambda: (
                registry.configuration is not None
                and registry.configuration.version == version
            )
        )
    )


@then("the gateway has version {version:d} from one answer, and has not lost the store")
def check_one_answer(context, version):
    wait_for_version(context, version)
    rig = context.rig
    assert not rig.logged_events("store-lost")
    assert not rig.logged_events("watch-overdue")
    (ended,) = rig.logged_events("large-answer-ended")
    assert ended["received"] == ended["bytes"], ended


@then('the gateway stops to use "{name}" before it has version {version:d}')
def check_order(context, name, version):
    rig = context.rig
    registry = rig.daemons[0].registry

    def is_used():
        return name in [one.id for one in registry.ready("plain")]

    rig.run(rig.wait_until(lambda: not is_used()))
    assert registry.configuration.version < version
    wait_for_version(context, version)
    assert not is_used()


@then("the gateway passes a read barrier before it has version {version:d}")
def pass_barrier(context, version):
    rig = context.rig
    (daemon,) = rig.daemons
    rig.run(rig.wait_until(lambda: rig.logged_events("large-answer-began")))
    assert rig.run(daemon.gateway.pool.resumption.wait_until_current())
    assert daemon.registry.configuration.version < version
    wait_for_version(context, version)


@then("the gateway has version {version:d} from its peer, and under half of the answer")
def check_replaced(context, version):
    wait_for_version(context, version)
    rig = context.rig
    (copy,) = [one for one in rig.logged_events("items-from-peer") if one["items"]]
    sizes = [one["bytes"] for one in rig.logged_events("large-answer-began")]
    assert copy["bytes"] < sizes[0] / 4, (copy, sizes)
    carried = context.link.carried - context.carried_before
    assert carried < sizes[0] / 2, (carried, sizes)


@when("a large configuration is decoded beside another task")
def decode_large(context):
    value = json.dumps(large_configuration(9)).encode()
    item = Item(key="op/config", revision=9, value=value)
    revision = StoreRevision(era=0, number=9)
    decoder = DocumentDecoder()
    context.turns = 0

    async def count_turns():
        while True:
            context.turns += 1
            await asyncio.sleep(0)

    async def prepare():
        counting = asyncio.create_task(count_turns())
        snapshot = Snapshot(revision=revision, items=(item,), is_complete=False)
        await decoder.prepare(snapshot)
        counting.cancel()

    asyncio.run(prepare())
    context.prepared = decoder.prepared[item.key, item.revision][1]
    context.decoded = decoder.decode(item)


@then(
    "the task has run {count:d} times meanwhile, and the configuration is decoded once"
)
def check_turns(context, count):
    assert context.turns >= count, context.turns
    assert context.decoded is context.prepared
    assert context.decoded.ok_value.version == 9


def decode_with(decoder, document, revision):
    """Return the result of decoding a configuration with a decoder."""
    value = json.dumps(document).encode()
    item = Item(key="op/config", revision=revision, value=value)
    snapshot = Snapshot(
        revision=StoreRevision(era=0, number=revision), items=(item,), is_complete=False
    )
    asyncio.run(decoder.prepare(snapshot))
    return decoder.decode(item)


@when(
    "a large configuration is decoded, and then one whose route has {field} = {value}"
)
def decode_two(context, field, value):
    decoder = DocumentDecoder()
    document = large_configuration(9)
    context.first = decode_with(decoder, document, 9)
    document["version"] = 10
    document["routes"][-1][field] = json.loads(value)
    context.second = decode_with(decoder, document, 10)
    context.changed = document["routes"][-1]


@then("the second one is {result}, and has the other routes of the first one")
def check_second(context, result):
    assert isinstance(context.second, Ok) == (result == "valid"), context.second
    if result == "refused":
        return
    pairs = zip(
        *(
            sorted(
                (route for routes in one.ok_value.routes.values() for route in routes),
                key=lambda route: route.name,
            )
            for one in (context.first, context.second)
        ),
        strict=True,
    )
    other = {second.name for first, second in pairs if second is not first}
    assert other == {context.changed["name"]}, other
