"""Steps about entries that tell each other what they know."""

import asyncio

from behave import given, then, when
from result import Err

from features.gateway.rig import (
    configuration,
)
from zinniaramp.reads import ReadError
from zinniaramp.registry import Source


@given("{count:d} gateways that know each other")
def gateways_that_meet(context, count):
    rig = context.rig

    async def meet():
        first = await rig.add_daemon()
        for _ in range(count - 1):
            await rig.add_daemon(seeds=[first.settings.peers])
        for daemon in rig.daemons:
            mesh = daemon.gateway.mesh
            await rig.wait_until(lambda mesh=mesh: len(mesh.write_queues) == count - 1)

    rig.run(meet())


@given("the store is {state} for the first gateway")
@when("the store is {state} for the first gateway")
def store_away_for_first(context, state):
    rig = context.rig
    follower = rig.daemons[0].follower

    async def refuse(*_):
        if state == "silent":
            await asyncio.Event().wait()
        return Err(ReadError("refused"))

    follower.source = Source(read_all=refuse, watch=refuse)
    rig.store.put("unrelated", {})
    known = rig.daemons[0].registry.cache
    rig.run(rig.wait_until(lambda: known.revision >= rig.store.revision))


@then("every gateway has version {version:d} in force")
def all_in_force(context, version):
    rig = context.rig
    for daemon in rig.daemons:
        registry = daemon.registry
        rig.run(
            rig.wait_until(lambda one=registry: one.configuration.version == version)
        )


@when("version {version:d} is published")
def version_published(context, version):
    context.rig.store.put("op/config", configuration(version))


@then('the first gateway does not use "{name}"')
def first_does_not_use(context, name):
    rig = context.rig
    registry = rig.daemons[0].registry

    def names():
        return [one.id for one in registry.ready("plain")]

    rig.run(rig.wait_until(lambda: name not in names()))


@when('the server "{name}" says that it leaves')
def says_that_it_leaves(context, name):
    context.rig.publish(name, state="draining")


@given("a gateway that starts while the store refuses it")
def starts_while_refused(context):
    rig = context.rig

    async def start():
        first = await rig.add_daemon()
        rig.store.refuses = True
        await rig.add_daemon(seeds=[first.settings.peers])

    rig.run(start())


@then("both gateways are ready")
def both_ready(context):
    for daemon in context.rig.daemons:
        assert not daemon.gateway.unready_reason()


@when("a stranger sends the first gateway bytes that are not messages")
def stranger_speaks(context):
    rig = context.rig
    peers = rig.daemons[0].settings.peers

    async def speak():
        for data in (b"\xc1\xff", b"\x92\x63\x01", b"GET / HTTP/1.1\r\n\r\n"):
            reader, writer = await rig.connect(address=peers)
            writer.write(data)
            assert await reader.read() == b""
            writer.close()

    rig.run(speak())


@then("each connection was closed with a line in the log")
def strangers_logged(context):
    assert len(context.rig.logged_events("peer-spoke-wrong")) == 3
