"""Steps for the time since the store confirmed what a gateway knows."""

import asyncio
from datetime import timedelta

from behave import then, when

from features.gateway.configurations import configuration
from features.gateway.rig import store_revision
from features.steps.gateway_belief_steps import advance_clock

LOST_REVISIONS = 40
"""Changes that the restored store lacks; more than a scenario makes after it."""


@when("the store is silent for {seconds:d} s by the gateway's clock")
def pass_time_in_silence(context, seconds):
    context.rig.store.is_silent = True
    advance_clock(context.rig.daemons[0], timedelta(seconds=seconds))


@then("the log of the send says that the store confirmed it over {seconds:d} s ago")
def check_logged_age(context, seconds):
    (chosen,) = context.rig.logged_events("endpoint-chosen")
    assert chosen["confirmed_ms"] >= seconds * 1000, chosen


@when(
    "its watch waits while the store is silent for {seconds:d} s by the gateway's clock"
)
def silence_store_after_watch(context, seconds):
    wait_for_watches(context.rig)
    pass_time_in_silence(context, seconds)


@when("the store is lost, and a change after its return ends the watch")
def lose_and_regain_store(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: rig.logged_events("store-lost")))
    lose_watches_in_outage(context)
    rig.run(rig.wait_until(lambda: rig.logged_events("watch-overdue")))


@then("the log has the age of the watch and of the last confirmation")
def check_logged_ages(context):
    (lost,) = context.rig.logged_events("store-lost")
    (overdue,) = context.rig.logged_events("watch-overdue")
    assert lost["confirmed_ms"] >= 3000, lost
    assert overdue["waited_ms"] >= lost["confirmed_ms"], (lost, overdue)


def wait_for_watches(rig):
    """Wait until the watch of every gateway waits at the store."""
    count = len(rig.daemons)
    rig.run(rig.wait_until(lambda: len(rig.store.waiting) == count))


@when("{count:d} watch is never answered")
@when("{count:d} watches are never answered")
def abandon_watches(context, count):
    wait_for_watches(context.rig)
    context.rig.store.abandon_watches(count)


@when("no watch is answered any more")
def ignore_watches(context):
    abandon_watches(context, len(context.rig.daemons))
    context.rig.store.ignores_watches = True


@when("the store is silent and answers no earlier watch after it")
def lose_watches_in_outage(context):
    store = context.rig.store
    store.is_silent = True
    abandon_watches(context, len(context.rig.daemons))
    store.put("op/config", configuration(8))
    store.is_silent = False
    store.wake_watches()


@when("the store is silent for {seconds:d} s and answers no earlier watch after it")
def lose_watches_in_long_outage(context, seconds):
    rig = context.rig
    wait_for_watches(rig)
    context.revision = store_revision(rig.store)
    rig.store.is_silent = True
    rig.store.abandon_watches(len(rig.daemons))
    rig.run(asyncio.sleep(seconds))
    rig.store.is_silent = False
    rig.store.wake_watches()


@then(
    "the watches of {count:d} gateways wait at the store without a change, and none "
    "has timed out"
)
def check_watches_wait(context, count):
    store = context.rig.store
    context.rig.run(context.rig.wait_until(lambda: len(store.waiting) == count))
    assert store_revision(store) == context.revision
    assert len(context.rig.logged_events("watch-renewed")) == count


@when(
    'the connections of all watches are lost, and the entry of "{name}" is removed '
    "{seconds:d} s later"
)
def lose_connections_and_remove(context, name, seconds):
    rig = context.rig
    wait_for_watches(rig)

    async def lose():
        for watch in tuple(rig.store.waiting):
            watch.request.connection.stream.close()
        await asyncio.sleep(seconds)

    rig.run(lose())
    rig.store.remove(f"servers/{name}")
    wait_for_all_gateways(rig)


@then('no gateway sends requests to "{name}"')
def check_not_ready(context, name):
    for daemon in context.rig.daemons:
        ready = [one.id for one in daemon.registry.ready("plain")]
        assert ready and name not in ready, ready


@when("{count:d} values of {size:d} bytes are published while the store is silent")
def publish_in_silence(context, count, size):
    wait_for_watches(context.rig)
    store = context.rig.store
    # A page of the real store has about 1 MB at most.
    store.page_items = 1
    store.is_silent = True
    for number in range(count):
        store.put(f"unrelated/{number}", {"padding": "x" * size})
    store.is_silent = False
    store.wake_watches()


@when("the store is restored and its watches go on waiting")
def restore_under_watches(context):
    rig = context.rig
    copy = rig.store.copy()
    for number in range(LOST_REVISIONS):
        rig.store.put(f"unrelated/{number}", {})
    wait_for_all_gateways(rig)
    wait_for_watches(rig)
    rig.store.restore(copy, keeps_watches=True)


def wait_for_all_gateways(rig):
    """Wait until every gateway has the latest revision of the store."""
    revision = store_revision(rig.store)
    for daemon in rig.daemons:
        cache = daemon.registry.cache
        rig.run(rig.wait_until(lambda cache=cache: cache.revision >= revision))


@then("changes of the configuration and the servers are in force at every gateway")
def check_changes_in_force(context):
    rig = context.rig
    rig.store.put("op/config", configuration(9, keys=["other-key"]))
    wait_for_all_gateways(rig)
    rig.publish("s-1", state="draining")
    wait_for_all_gateways(rig)
    rig.run(rig.add_server("s-3"))
    wait_for_all_gateways(rig)
    for daemon in rig.daemons:
        registry = daemon.registry
        assert registry.configuration.version == 9, registry.configuration.version
        ready = sorted(one.id for one in registry.ready("plain"))
        assert ready == ["s-2", "s-3"], ready
