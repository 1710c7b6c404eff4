"""Steps for gateways that exchange items of the store."""

import asyncio
from unittest import mock

from behave import given, then, when
from result import Err

from features.gateway.configurations import configuration
from features.gateway.rig import store_revision, wait_for_latest_revision
from zinniaramp.peers.codec import encode
from zinniaramp.peers.messages import Hello
from zinniaramp.reads import ReadError
from zinniaramp.registry import ItemCache, Source

ITEM_INTERVAL_SECONDS = 0.004
"""Time between two changes; all are made within one pause of the watch."""


@given("{count:d} connected gateways")
def start_connected_gateways(context, count):
    rig = context.rig

    async def start_gateways():
        first = await rig.add_daemon()
        for _ in range(count - 1):
            await rig.add_daemon(seeds=[first.settings.peers])
        for daemon in rig.daemons:
            mesh = daemon.gateway.mesh
            await rig.wait_until(lambda mesh=mesh: len(mesh.write_queues) == count - 1)

    rig.run(start_gateways())


@given("the store connection of the first gateway is {state}")
@when("the store connection of the first gateway is {state}")
def interrupt_store_connection(context, state):
    rig = context.rig
    follower = rig.daemons[0].follower

    async def refuse(*_):
        if state == "silent":
            await asyncio.Event().wait()
        return Err(ReadError("refused"))

    follower.source = Source(
        read_all=refuse, watch=refuse, read_revision=refuse, read_history=refuse
    )
    rig.store.put("unrelated", {})
    cache = rig.daemons[0].registry.cache
    rig.run(rig.wait_until(lambda: cache.revision >= store_revision(rig.store)))


@then("every gateway has applied configuration version {version:d}")
def check_all_applied(context, version):
    rig = context.rig
    for daemon in rig.daemons:
        registry = daemon.registry
        rig.run(
            rig.wait_until(
                lambda current=registry: current.configuration.version == version
            )
        )


@when("configuration version {version:d} is published")
def publish_version(context, version):
    changes_since = ItemCache.changes_since
    context.requests = []

    def record_request(cache, revision):
        context.requests.append(revision)
        return changes_since(cache, revision)

    patch = mock.patch.object(ItemCache, "changes_since", record_request)
    patch.start()
    context.add_cleanup(patch.stop)
    context.rig.store.put("op/config", configuration(version))


@then("the peers were asked for items once")
def check_asked_once(context):
    assert len(context.requests) == 1, context.requests


@then('the first gateway does not use the server "{name}"')
def check_first_does_not_use(context, name):
    rig = context.rig
    registry = rig.daemons[0].registry

    def ready_names():
        return [one.id for one in registry.ready("plain")]

    rig.run(rig.wait_until(lambda: name not in ready_names()))


@when('the server "{name}" reports that it is draining')
def report_draining(context, name):
    context.rig.publish(name, state="draining")


@given("a ready gateway and another that starts while the store refuses calls")
def start_while_store_refuses(context):
    rig = context.rig

    async def start():
        first = await rig.add_daemon()
        rig.store.refuses = True
        await rig.add_daemon(seeds=[first.settings.peers])

    rig.run(start())


@when("it learns of {count:d} other gateways")
def learn_of_gateways(context, count):
    rig = context.rig
    mesh = rig.daemons[0].gateway.mesh

    async def add_peers():
        # Nothing listens on port 9.
        for number in range(count):
            mesh.add_peer(f"127.0.{1 + number // 250}.{1 + number % 250}:9")
        assert len(mesh.connect_tasks) < count

    rig.run(add_peers())
    context.gateways = count + 1


@then("it shares the retry budget with all of them")
def check_retry_budget(context):
    gateway = context.rig.daemons[0].gateway
    assert gateway.mesh.entry_count == context.gateways, gateway.mesh.entry_count
    slack = gateway.settings.retry_slack / context.gateways
    assert gateway._retry_limits().slack == slack
    for task in gateway.mesh.connect_tasks.values():
        context.rig.tasks.append(task)


@when("{count:d} items change one after the other")
def change_items(context, count):
    rig = context.rig
    context.watches = rig.store.calls.count("/kv-watch")

    async def change():
        for number in range(count):
            rig.store.put(f"unrelated/{number}", {})
            await asyncio.sleep(ITEM_INTERVAL_SECONDS)

    rig.run(change())
    wait_for_latest_revision(context)


@then("the gateway has them all after {count:d} watches at most")
def check_watches(context, count):
    watches = context.rig.store.calls.count("/kv-watch") - context.watches
    assert watches <= count, watches


@then("both gateways are ready")
def check_both_ready(context):
    for daemon in context.rig.daemons:
        assert not daemon.gateway.unready_reason()


@when('a peer names itself "{address}"')
def send_misspelt_address(context, address):
    rig = context.rig
    hello = Hello(address=address, data_center="a", known_peers=())

    async def send_hello():
        peers = rig.daemons[0].settings.peers
        reader, writer = await rig.connect(address=peers)
        writer.write(encode(hello))
        assert await reader.read() == b""
        writer.close()

    context.invalid_connections = 1
    rig.run(send_hello())


@then("the gateway counts only itself")
def check_counts_itself(context):
    mesh = context.rig.daemons[0].gateway.mesh
    assert mesh.entry_count == 1, mesh.known


@when("an unknown client sends invalid messages to the first gateway")
def send_invalid_messages(context):
    rig = context.rig
    peers = rig.daemons[0].settings.peers

    context.invalid_connections = 3

    async def send_messages():
        for data in (b"\xc1\xff", b"\x92\x63\x01", b"GET / HTTP/1.1\r\n\r\n"):
            reader, writer = await rig.connect(address=peers)
            writer.write(data)
            assert await reader.read() == b""
            writer.close()

    rig.run(send_messages())


@then("each connection is closed and logged")
def check_connections_logged(context):
    logged = context.rig.logged_events("peer-spoke-wrong")
    assert len(logged) == context.invalid_connections, logged
