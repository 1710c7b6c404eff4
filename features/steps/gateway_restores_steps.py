"""Steps for a store that is restored from a copy, and for an unreachable one."""

import json

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st

from features.gateway.configurations import configuration
from features.gateway.rig import wait_for_latest_revision
from features.steps.gateway_belief_steps import CLOCK_ADVANCE, advance_clock
from zinniaramp.clock import monotonic_clock
from zinniaramp.platform.documents import decode_item
from zinniaramp.registry import Item, Registry, Snapshot, StoreRevision

ENTRY_LIFETIME_OVER = CLOCK_ADVANCE * 3
"""Longer than three heartbeat intervals of the rig's settings and the grace period."""

ATTEMPTS = 3
LAST_ERA = 4


@given("a copy of the store")
def copy_store(context):
    context.copy = context.rig.store.copy()


@when("the store is restored from the copy")
def restore_store(context):
    context.rig.store.restore(context.copy)
    wait_for_latest_revision(context)


@when(
    "the store is restored from the copy and reaches the same revision "
    "before its answer"
)
def restore_and_catch_up(context):
    rig = context.rig
    reached = rig.store.revision
    rig.store.restore(context.copy)
    rig.store.compacted_revision = 0
    while rig.store.revision <= reached:
        rig.store.put("unrelated", {})
    wait_for_latest_revision(context)


@then("the gateway knows all items of the store")
def check_all_items(context):
    rig = context.rig
    registry = rig.daemons[0].registry
    known = {key for key, item in registry.cache.items.items() if item.value}
    assert known == set(rig.store.items), known


@when('the server "{name}" is removed from the store')
def remove_server(context, name):
    context.rig.store.remove(f"servers/{name}")
    wait_for_latest_revision(context)


@when('the server "{name}" writes its entry again')
def write_entry_again(context, name):
    context.rig.publish(name)
    wait_for_latest_revision(context)


@when("configuration version {version:d} is published with {count:d} other changes")
def publish_with_changes(context, version, count):
    store = context.rig.store
    store.put("op/config", configuration(version))
    for _ in range(count):
        store.put("unrelated", {})
    wait_for_latest_revision(context)


@then("the configuration in force is version {version:d}")
def check_version(context, version):
    registry = context.rig.daemons[0].registry
    assert registry.configuration.version == version, registry.configuration.version


@when('"{text}" is sent {count:d} times with the key "{key}"')
def send_many(context, text, count, key):
    method, path = text.split()
    context.replies = []
    for number in range(count):
        call = context.rig.call(path, name=f"again-{number}", method=method, key=key)
        context.replies.append(context.rig.run(call))


@then('only the server "{name}" has received requests')
def check_only_receiver(context, name):
    received = [one for one, server in context.rig.servers.items() if server.arrivals]
    assert received == [name], received


@then("the restore is logged once")
def check_restore_logged(context):
    (restored,) = context.rig.logged_events("store-restored")
    assert restored["era"] == restored["before"] + 1, restored


def ready_names(context):
    return [one.id for one in context.rig.daemons[0].registry.ready("plain")]


@then('the gateway uses the server "{name}"')
def check_uses(context, name):
    assert name in ready_names(context), ready_names(context)


@then('the gateway does not use the server "{name}"')
def check_does_not_use(context, name):
    assert name not in ready_names(context), ready_names(context)


@when("the time in which an unattended entry expires is over")
def end_entry_lifetime(context):
    advance_clock(context.rig.daemons[0], ENTRY_LIFETIME_OVER)


@then("the first gateway has the revision of the store")
def check_first_revision(context):
    wait_for_latest_revision(context)


def endpoint_entry(state):
    """Return the bytes of an endpoint's entry."""
    entry = {
        "service": "plain",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "sequence": 1,
        "born": 1000,
    }
    return json.dumps(entry).encode()


@st.composite
def eras(draw):
    """Return full reads, several of each era, whose versions only rise with time."""
    reads, version = [], 1
    for era in range(1, LAST_ERA + 1):
        number = draw(st.integers(1, 50))
        for _ in range(draw(st.integers(1, 3))):
            number += draw(st.integers(1, 5))
            # A restored copy may hold an older version than was in force before.
            version = max(1, version + draw(st.integers(-2, 3)))
            state = draw(st.sampled_from(["ready", "draining", None]))
            items = [("op/config", json.dumps(configuration(version)).encode())]
            if state is not None:
                items.append(("servers/s-1", endpoint_entry(state)))
            reads.append(
                Snapshot(
                    revision=StoreRevision(era=era, number=number),
                    items=tuple(
                        Item(key=key, revision=number, value=value)
                        for key, value in items
                    ),
                    is_complete=True,
                )
            )
    return reads, draw(st.permutations(reads))


@when("reads of several eras arrive in any order")
def generate_reads(context):
    @for_any(eras())
    def check(case):
        reads, order = case
        clock = monotonic_clock()
        registry = Registry(
            decode=decode_item,
            lapse_grace=CLOCK_ADVANCE,
            entry_lifetime=CLOCK_ADVANCE,
            clock=clock,
        )
        newest, versions, has_left = StoreRevision(era=0, number=0), [], False
        for read in order:
            registry.apply(read)
            if read.revision >= newest:
                newest = read.revision
                contents = {item.key: item.value for item in read.items}
                versions.append(json.loads(contents["op/config"])["version"])
                has_left = has_left or b"draining" in contents.get("servers/s-1", b"")
            assert registry.cache.revision == newest
            assert registry.configuration.version == max(versions)
            assert not (has_left and registry.ready("plain"))
        last = max(reads, key=lambda read: read.revision)
        held = {key: one.value for key, one in registry.cache.items.items()}
        expected = {item.key: item.value for item in last.items}
        assert {key: value for key, value in held.items() if value} == expected

    context.check = check


@then("the items are those of the last era and no configuration or leaving is reverted")
def check_reads(context):
    context.check()


@given("the store does not listen")
def stop_store(context):
    context.rig.store.server.stop()


@when("the store has been unreachable for several attempts")
def wait_for_attempts(context):
    rig = context.rig

    def has_tried():
        failed = len(rig.logged_events("task-failed"))
        return rig.daemons[0].follower.backoff.failures + failed >= ATTEMPTS

    rig.run(rig.wait_until(has_tried))


@when("the store listens again")
def restart_store(context):
    rig = context.rig

    async def listen():
        rig.store.listen(port=rig.store.port)

    rig.run(listen())
    wait_for_latest_revision(context)


@then("the log has one lost and one regained store, and no failed task")
def check_lost_once(context):
    rig = context.rig
    assert not rig.logged_events("task-failed"), rig.logged_events("task-failed")
    assert len(rig.logged_events("store-lost")) == 1
    assert len(rig.logged_events("store-regained")) == 1
