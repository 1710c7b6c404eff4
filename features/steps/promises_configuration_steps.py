"""Steps for the revisions in force in real processes."""

import configparser
import threading
from pathlib import Path

from behave import given, then, when

from features.support.running_fleet import (
    RunningFleet,
    fetch_json,
    read_events,
    wait_until,
)
from zinniaramp.standins.fleet import free_port

IN_FORCE_LIMIT_SECONDS = 9
READY_LIMIT_SECONDS = 15
WINDOW_SECONDS = 0.9
"""Window in which each process may query the configuration service once."""
FIRST_KEY = "class_name = standard"
INVALID_KEYS = "class_name = standard\nattempts = 400"
"""The first key of the declarations, followed by a value out of range."""


def make_declarations(context, line):
    """Return the fleet's declarations with another line in place of the first key."""
    path = context.running.fleet.directory / "declarations.ini"
    return path.read_text().replace(FIRST_KEY, line, 1)


def publish(context, line):
    """Publish declarations with another first key; return the revision's index."""
    body = make_declarations(context, line).encode()
    url = context.running.process("configuration").url
    return fetch_json(f"{url}/standin/publish", body)["index"]


def publish_valid(context, attempts):
    """Publish a valid revision and record its index."""
    index = publish(context, f"{FIRST_KEY}\nattempts = {attempts}")
    context.highest_index = max(context.highest_index, index)


@given("a running fleet of {entries:d} entries and {endpoints:d} endpoints")
def start_fleet(context, entries, endpoints):
    context.running = RunningFleet(
        context.directory, entries=entries, endpoints=endpoints
    )
    context.add_cleanup(context.running.close)
    context.highest_index = 1


@when("two operators publish {count:d} revisions each at the same time")
def publish_concurrently(context, count):
    def publish_all(attempts):
        for _ in range(count):
            publish_valid(context, attempts)

    operators = [threading.Thread(target=publish_all, args=(n,)) for n in (4, 5)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    assert context.highest_index == 1 + 2 * count, context.highest_index


@when("an operator publishes a valid revision")
def publish_one(context):
    publish_valid(context, 6)


@when("an operator publishes an invalid revision")
def publish_invalid(context):
    context.invalid_index = publish(context, INVALID_KEYS)


def revisions_of(context, names):
    """Return index and digest of the revision in force that each process reports."""
    statuses = [context.running.status(name) for name in names]
    return [
        one and (one["revision"]["index"], one["revision"]["digest"])
        for one in statuses
    ]


def check_in_force(context, names):
    """Check that processes get the highest revision in force before a timeout."""

    def is_in_force():
        context.last_revisions = revisions_of(context, names)
        indexes = {one and one[0] for one in context.last_revisions}
        return (
            indexes == {context.highest_index} and len(set(context.last_revisions)) == 1
        )

    assert wait_until(is_in_force, IN_FORCE_LIMIT_SECONDS), (
        context.highest_index,
        context.last_revisions,
    )


@then("every process has the highest revision in force within 9 seconds")
def check_everywhere(context):
    check_in_force(context, [one.name for one in context.running.daemons()])


@then("entry-0, entry-1 and endpoint-0 have it in force within 9 seconds")
def check_reachable(context):
    check_in_force(context, ["entry-0", "entry-1", "endpoint-0"])


@then("endpoint-1 still has the old revision in force")
def check_partitioned(context):
    assert context.running.status("endpoint-1")["revision"]["index"] == 1


@then("no process queried the service more than once a second")
def check_reads(context):
    calls = fetch_json(f"{context.running.process('configuration').url}/standin/log")
    times = sorted(one["started"] for one in calls)
    most_calls = max(
        sum(1 for other in times if first <= other < first + WINDOW_SECONDS)
        for first in times
    )
    assert most_calls <= len(context.running.daemons()), (most_calls, times)


@then("every process logs the section, key and value of its problem")
def check_refused(context):
    def is_refused(events):
        return any(
            one.get("name") == "revision-refused"
            and (one["index"], one["section"], one["key"], one["value"])
            == (context.invalid_index, "defaults", "attempts", "400")
            for one in events
        )

    def is_refused_everywhere():
        return all(map(is_refused, context.running.logs().values()))

    assert wait_until(is_refused_everywhere, IN_FORCE_LIMIT_SECONDS), (
        context.invalid_index
    )


@when("the service becomes stale for all")
def make_stale(context):
    url = context.running.process("configuration").url
    fetch_json(f"{url}/standin/faults", b'{"stale": true}')


@when("the service is restarted with its initial content")
def restart_service(context):
    running = context.running
    port = running.end("configuration").url.rpartition(":")[2]
    file = running.fleet.directory / "declarations.ini"
    running.start_configuration("configuration", port, file, 1)


@when("every process has received a lower revision")
def wait_for_lower(context):
    running = context.running

    # An accepted lower revision ends the wait, so that a later step reports it.
    def is_logged_or_accepted():
        statuses = [running.status(one.name) for one in running.daemons()]
        is_accepted = any(
            one["revision"]["index"] < context.highest_index for one in statuses
        )
        logs = [read_events(one.log) for one in running.daemons()]
        return is_accepted or all(
            any(one.get("name") == "revision-lower" for one in events)
            for events in logs
        )

    assert wait_until(is_logged_or_accepted, READY_LIMIT_SECONDS)


@given("the service is down for all")
def end_service(context):
    context.running.end("configuration")


@given("endpoint-1 is partitioned from every entry")
def partition(context):
    context.running.forwarder("endpoint-1").start_partition()


@when("endpoint-1 is reachable again")
def join(context):
    context.running.forwarder("endpoint-1").end_partition()


@when("only entry-0 receives a newer revision")
def serve_newer_revision(context):
    running = context.running
    file = running.fleet.directory / "newer.ini"
    file.write_text(make_declarations(context, f"{FIRST_KEY}\nattempts = 7"))
    context.highest_index = 7
    service = running.start_configuration("other", free_port(), file, 7)
    ended = running.end("entry-0")
    settings = configparser.ConfigParser(interpolation=None)
    settings.read(ended.settings)
    settings["platform"]["configuration"] = service.url
    changed = Path(ended.settings).with_suffix(".other.ini")
    with changed.open("w") as settings_file:
        settings.write(settings_file)
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

    assert wait_until(is_ready, READY_LIMIT_SECONDS), context.status
    revision = context.status["revision"]
    assert revision["index"] == context.highest_index, (
        name,
        revision,
        context.highest_index,
    )


@then("no process ever reverted to a lower revision")
def check_never_lower(context):
    for incarnation, indexes in context.running.seen_indexes.items():
        assert indexes == sorted(indexes), (incarnation, indexes)
    for path, events in context.running.logs().items():
        accepted = [e["index"] for e in events if e.get("name") == "revision-accepted"]
        assert accepted == sorted(set(accepted)), (path, accepted)
