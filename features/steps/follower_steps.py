"""Steps about following the configuration service."""

import asyncio
import time
from datetime import timedelta

from behave import given, then, when

from features.platform_bench import DECLARATIONS, WAIT_LIMIT_SECONDS, ConfigurationBench
from zinniaramp.configuration import handle_revision_message, is_reader
from zinniaramp.contracts import Ping
from zinniaramp.hosts import Host, HostView

ATTEMPTS = "attempts = 3"


def attempts_of(store):
    """Return what a store has in force."""
    return store.current().defaults.attempts


@given("a configuration service with the declarations of kilometerwerk")
def open_service(context):
    context.bench = ConfigurationBench()
    context.add_cleanup(context.bench.close)


@given("a process that follows it")
def follow(context):
    bench = context.bench
    bench.start_follower()
    if not bench.controls.faults.silent:
        bench.wait_until(lambda: bench.store.revision().index == 3)


@given("a process that follows it, but is no reader")
def follow_as_no_reader(context):
    hosts = {
        f"host-{i}": Host(
            name=f"host-{i}", data_centre="dc-1", role="endpoint", address=""
        )
        for i in range(5)
    }
    name = next(n for n in hosts if not is_reader(n, "dc-1", hosts.values()))
    context.bench.start_follower(name=name, view=HostView(hosts=hosts))
    context.bench.wait_until(lambda: context.bench.store.revision().index == 3)
    context.started = time.monotonic()


@given("the service is silent")
def silence(context):
    context.bench.set_faults(silent=True)


@given("a peer with a stream to it, whose service does not answer")
def add_peer(context):
    context.peer = context.bench.new_store()
    context.sent = []

    async def exchange():
        process = context.bench.store
        while True:
            ping = Ping(number=1, revision=process.revision())
            request = handle_revision_message(context.peer, ping, source="host-1")
            if request is not None:
                reply = handle_revision_message(process, request, source="peer")
                context.sent.append(reply)
                handle_revision_message(context.peer, reply, source="host-1")
            await asyncio.sleep(0.01)

    context.bench.start_task(exchange)
    context.bench.wait_until(lambda: context.peer.revision().index == 3)


@when('"{old}" is published as "{new}"')
def publish(context, old, new):
    assert old in DECLARATIONS
    context.bench.publish(DECLARATIONS.replace(old, new))


@when("the service becomes stale")
def make_stale(context):
    context.bench.set_faults(stale=True)


@when("the service answers again")
def end_silence(context):
    context.bench.set_faults()


@when("the service is restarted with a lower index and other content")
def restart(context):
    context.bench.restart_service(
        DECLARATIONS.replace(ATTEMPTS, "attempts = 7"), index=1
    )
    context.calls = len(context.bench.controls.log)


@when("it looks for the newest revision for {seconds:g} s")
def look_for_newest(context, seconds):
    follower = context.bench.follower
    timeout = timedelta(seconds=seconds)

    async def look():
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await follower.wait_for_newest(timeout=timeout)

    context.bench.runner.run(look())


@then("it gives up in time, with what it had at the start")
def check_initial(context):
    assert context.bench.store.revision().index == 0


@then("the process has {count:d} attempts in force")
def check_attempts(context, count):
    bench = context.bench
    bench.wait_until(
        lambda: attempts_of(bench.store) == count and bench.store.revision().index >= 3
    )


@then("the peer has {count:d} attempts in force")
def check_peer_attempts(context, count):
    context.bench.wait_until(lambda: attempts_of(context.peer) == count)
    assert context.peer.revision() == context.bench.store.revision()


@then("the peer was sent only the section that changed")
def check_sent(context):
    texts = context.sent[-1].texts
    assert [text.splitlines()[0] for text in texts] == ["[defaults]"], texts


@then("the process asks it and has {count:d} attempts in force")
def check_asked(context, count):
    bench = context.bench
    bench.wait_until(lambda: len(bench.controls.log) >= context.calls + 3)
    assert attempts_of(bench.store) == count
    assert bench.store.revision().index == 4


@then('an event "{name}" names "{section}", "{key}" and "{value}"')
def check_event_names(context, name, section, key, value):
    bench = context.bench
    bench.wait_until(lambda: bench.events_named(name))
    [found] = bench.events_named(name)
    assert (found["section"], found["key"], found["value"]) == (section, key, value)
    assert found["remedy"]


@then('an event "{name}" is written')
def check_event(context, name):
    context.bench.wait_until(lambda: context.bench.events_named(name))


@then("the service was asked at most {count:d} times a second")
def check_rate(context, count):
    seconds = time.monotonic() - context.started
    assert len(context.bench.controls.log) <= 2 + count * seconds
