"""Steps about revisions in force over real processes."""

import configparser
import threading
from pathlib import Path

from behave import given, then, when

from features.support.running_fleet import RunningFleet, call, read_events, wait_until
from zinniaramp.standins.fleet import free_port

WITHIN_SECONDS = 9
READY_SECONDS = 15
WINDOW_SECONDS = 0.9
GOOD = "class_name = standard"
MISTAKE = "class_name = standard\nattempts = 400"


def text_with(context, line):
    """Return the fleet's declarations with a line in place of the first key."""
    path = context.running.fleet.directory / "declarations.ini"
    return path.read_text().replace(GOOD, line, 1)


def publish(context, line):
    """Publish the fleet's declarations with another first key."""
    body = text_with(context, line).encode()
    url = context.running.process("configuration").url
    return call(f"{url}/standin/publish", body)["index"]


def publish_good(context, attempts):
    """Publish a revision that is accepted and note its index."""
    index = publish(context, f"{GOOD}\nattempts = {attempts}")
    context.highest = max(context.highest, index)


@given("a running fleet of {entries:d} entries and {endpoints:d} endpoints")
def start_fleet(context, entries, endpoints):
    context.running = RunningFleet(
        context.directory, entries=entries, endpoints=endpoints
    )
    context.add_cleanup(context.running.close)
    context.highest = 1


@when("two operators publish {count:d} revisions each at the same time")
def race(context, count):
    def publish_all(attempts):
        for _ in range(count):
            publish_good(context, attempts)

    operators = [threading.Thread(target=publish_all, args=(n,)) for n in (4, 5)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    assert context.highest == 1 + 2 * count, context.highest


@when("an operator publishes a good revision")
def publish_one(context):
    publish_good(context, 6)


@when("an operator publishes a mistake")
def publish_mistake(context):
    context.mistake = publish(context, MISTAKE)


def revisions_of(context, names):
    """Return the revision that each process has in force, as its status says."""
    statuses = [context.running.status(name) for name in names]
    return [
        one and (one["revision"]["index"], one["revision"]["digest"])
        for one in statuses
    ]


def check_in_force(context, names):
    """Check that processes have the highest revision, with one digest, in time."""

    def is_in_force():
        context.last = revisions_of(context, names)
        indexes = {one and one[0] for one in context.last}
        return indexes == {context.highest} and len(set(context.last)) == 1

    assert wait_until(is_in_force, WITHIN_SECONDS), (context.highest, context.last)


@then("every process has the highest revision in force within 9 seconds")
def check_everywhere(context):
    check_in_force(context, [one.name for one in context.running.daemons()])


@then("entry-0, entry-1 and endpoint-0 have it in force within 9 seconds")
def check_reachable(context):
    check_in_force(context, ["entry-0", "entry-1", "endpoint-0"])


@then("endpoint-1 still has the old one")
def check_parted(context):
    assert context.running.status("endpoint-1")["revision"]["index"] == 1


@then("no process asked the service more than once a second")
def check_reads(context):
    calls = call(f"{context.running.process('configuration').url}/standin/log")
    times = sorted(one["started"] for one in calls)
    most = max(
        sum(1 for other in times if first <= other < first + WINDOW_SECONDS)
        for first in times
    )
    assert most <= len(context.running.daemons()), (most, times)


@then("every process logs its section, key and value")
def check_refused(context):
    def is_refused(events):
        return any(
            one.get("name") == "revision-refused"
            and (one["index"], one["section"], one["key"], one["value"])
            == (context.mistake, "defaults", "attempts", "400")
            for one in events
        )

    def is_refused_everywhere():
        return all(map(is_refused, context.running.logs().values()))

    assert wait_until(is_refused_everywhere, WITHIN_SECONDS), context.mistake


@when("the service becomes stale for all")
def make_stale(context):
    url = context.running.process("configuration").url
    call(f"{url}/standin/faults", b'{"stale": true}')


@when("the service is restarted with the content of the start")
def restart_service(context):
    running = context.running
    port = running.end("configuration").url.rpartition(":")[2]
    file = running.fleet.directory / "declarations.ini"
    running.start_configuration("configuration", port, file, 1)


@when("every process has been shown a lower revision")
def wait_for_lower(context):
    running = context.running

    def is_noted_or_taken():
        statuses = [running.status(one.name) for one in running.daemons()]
        is_taken = any(one["revision"]["index"] < context.highest for one in statuses)
        logs = [read_events(one.log) for one in running.daemons()]
        return is_taken or all(
            any(one.get("name") == "revision-lower" for one in events)
            for events in logs
        )

    assert wait_until(is_noted_or_taken, READY_SECONDS)


@given("the service is down for all")
def end_service(context):
    context.running.end("configuration")


@given("endpoint-1 is parted from every entry")
def part(context):
    context.running.forwarder("endpoint-1").start_partition()


@when("endpoint-1 can be reached again")
def join(context):
    context.running.forwarder("endpoint-1").end_partition()


@when("entry-0 alone is given a newer revision")
def give_revision(context):
    running = context.running
    file = running.fleet.directory / "newer.ini"
    file.write_text(text_with(context, f"{GOOD}\nattempts = 7"))
    context.highest = 7
    service = running.start_configuration("other", free_port(), file, 7)
    ended = running.end("entry-0")
    settings = configparser.ConfigParser(interpolation=None)
    settings.read(ended.settings)
    settings["platform"]["configuration"] = service.url
    changed = Path(ended.settings).with_suffix(".other.ini")
    with changed.open("w") as written:
        settings.write(written)
    running.start_daemon(ended, changed)
    check_in_force(context, ["entry-0"])
    running.end("other")


@when("{name} is restarted")
def restart(context, name):
    ended = context.running.end(name)
    context.running.start_daemon(ended)


@then("{name} becomes ready with the highest revision")
def check_ready(context, name):
    def is_ready():
        context.status = context.running.status(name)
        return context.status is not None and context.status["ready"]

    assert wait_until(is_ready, READY_SECONDS), context.status
    revision = context.status["revision"]
    assert revision["index"] == context.highest, (name, revision, context.highest)


@then("no process ever went to a lower revision")
def check_never_lower(context):
    for incarnation, indexes in context.running.seen.items():
        assert indexes == sorted(indexes), (incarnation, indexes)
    for path, events in context.running.logs().items():
        accepted = [e["index"] for e in events if e.get("name") == "revision-accepted"]
        assert accepted == sorted(set(accepted)), (path, accepted)
