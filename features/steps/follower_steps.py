"""Steps about following the configuration service."""

import asyncio
import time
from contextlib import suppress
from datetime import timedelta

from behave import given, then, when

from features.platform_bench import DECLARATIONS, WAIT_LIMIT_SECONDS, ConfigurationBench
from features.support.narrow_link import NarrowLink
from zinniaramp.configuration import handle_revision_message, is_reader
from zinniaramp.contracts import Ping
from zinniaramp.hosts import Host, HostView

ATTEMPTS = "attempts = 3"
LINK_BYTES_PER_SECOND = 100_000
PIECE = b" " * 65536


def attempts_in_force(store):
    """Return the default number of attempts that a store has in force."""
    return store.current().defaults.attempts


@given("a configuration service with the declarations of kilometerwerk")
def start_service(context):
    context.bench = ConfigurationBench()
    context.add_cleanup(context.bench.close)


@given("a process that follows it")
def follow(context):
    bench = context.bench
    bench.start_follower()
    if not bench.controls.faults.silent:
        bench.wait_until(lambda: bench.store.revision().index == 3)


@given("a configuration service whose answers do not end")
def start_endless_service(context):
    context.bench = ConfigurationBench()
    context.add_cleanup(context.bench.close)
    context.sent = []

    async def write_endlessly(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        with suppress(ConnectionError):
            while True:
                writer.write(PIECE)
                await writer.drain()
                context.sent.append(len(PIECE))

    async def listen():
        return await asyncio.start_server(write_endlessly, "127.0.0.1", 0)

    context.server = context.bench.runner.run(listen())


@when("a process follows it")
def follow_endless_service(context):
    port = context.server.sockets[0].getsockname()[1]
    context.bench.start_follower(port=port)


@then("at most {count:d} MB were sent to it")
def check_sent_bytes(context, count):
    assert sum(context.sent) <= count * 1_000_000, sum(context.sent)


@given("a process that follows it over a narrow link")
def follow_over_link(context):
    bench = context.bench
    context.link = bench.run_in_loop(
        lambda: NarrowLink(port=bench.port, bytes_per_second=LINK_BYTES_PER_SECOND)
    )
    context.add_cleanup(context.link.stop)
    bench.start_follower(port=context.link.port)
    bench.wait_until(lambda: bench.store.revision().index == 3)


@given("a process that follows it, but is not a reader")
def start_non_reader(context):
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


@given("a peer that is connected to it, whose service does not answer")
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


@when('"{old}" is published as "{new}" with {count:d} workspaces more')
def publish_large(context, old, new, count):
    more = [f"[workspace more-{number}]\n" for number in range(count)]
    context.carried_before = context.link.carried
    context.bench.publish("\n".join([DECLARATIONS.replace(old, new), *more]))


@then("the service was read once for it")
def check_read_once(context):
    carried = context.link.carried - context.carried_before
    size = sum(section.size() for section in context.bench.store.sections)
    assert carried < 2 * size, (carried, size)
    assert not context.bench.events_named("configuration-unreachable")


@when("the service becomes stale")
def make_stale(context):
    context.bench.set_faults(stale=True)


@when("the service answers again")
def end_faults(context):
    context.bench.set_faults()


@when("the service is restarted with a lower index and other content")
def restart(context):
    context.bench.restart_service(
        DECLARATIONS.replace(ATTEMPTS, "attempts = 7"), index=1
    )
    context.requests_before = len(context.bench.controls.log)


@when("it waits for the newest revision for at most {seconds:g} s")
def wait_for_newest_revision(context, seconds):
    follower = context.bench.follower
    timeout = timedelta(seconds=seconds)

    async def wait():
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await follower.wait_for_newest(timeout=timeout)

    context.bench.runner.run(wait())


@then("the wait times out and the initial revision is in force")
def check_initial_revision(context):
    assert context.bench.store.revision().index == 0


@then("the process has {count:d} attempts in force")
def check_attempts(context, count):
    bench = context.bench
    bench.wait_until(
        lambda: (
            attempts_in_force(bench.store) == count
            and bench.store.revision().index >= 3
        )
    )


@then("the peer has {count:d} attempts in force")
def check_peer_attempts(context, count):
    context.bench.wait_until(lambda: attempts_in_force(context.peer) == count)
    assert context.peer.revision() == context.bench.store.revision()


@then("the peer was sent only the section that changed")
def check_sent_sections(context):
    texts = context.sent[-1].texts
    assert [text.splitlines()[0] for text in texts] == ["[defaults]"], texts


@then("the process reads it and has {count:d} attempts in force")
def check_attempts_after_reads(context, count):
    bench = context.bench
    bench.wait_until(lambda: len(bench.controls.log) >= context.requests_before + 3)
    assert attempts_in_force(bench.store) == count
    assert bench.store.revision().index == 4


@then('an event "{name}" reports "{section}", "{key}" and "{value}"')
def check_event_values(context, name, section, key, value):
    bench = context.bench
    bench.wait_until(lambda: bench.events_named(name))
    [event] = bench.events_named(name)
    assert (event["section"], event["key"], event["value"]) == (section, key, value)
    assert event["remedy"]


@then('an event "{name}" is logged')
def check_event_logged(context, name):
    context.bench.wait_until(lambda: context.bench.events_named(name))


@then("the service was read at most {count:d} times a second")
def check_read_rate(context, count):
    seconds = time.monotonic() - context.started
    assert len(context.bench.controls.log) <= 2 + count * seconds
