"""Steps about the stand-ins of the platform."""

import hashlib
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from behave import given, then, when

from features.standins.support import (
    START,
    WAIT_SECONDS,
    call,
    post_json,
    start_role,
    wait_until,
)
from zinniaramp.standins.configuration import ConfigurationService
from zinniaramp.standins.service import expected_reply
from zinniaramp.standins.serving import Controls


def sections_text(names):
    """Return INI text with a section for each name."""
    return "".join(f"[{name}]\nkey = {name}\n" for name in names)


def read_sections(context, query=""):
    """Read the configuration stand-in and return status, headers and body."""
    return call(f"{context.url}/v1/sections{query}")


@given('a configuration stand-in with a section "{name}" at index {index:d}')
def start_configuration(context, name, index):
    path = context.directory / "published.ini"
    path.write_text(sections_text([name]))
    start_role(context, "configuration", file=path, index=index)


@when("a reader watches for a revision after index {index:d}")
def watch_sections(context, index):
    query = f"?index={index}&wait_s={WAIT_SECONDS}"
    context.watch = ThreadPoolExecutor(1).submit(read_sections, context, query)
    wait_until(lambda: call(f"{context.url}/standin/log")[2])
    assert not context.watch.done()


@when('an operator publishes sections "{first}" and "{second}"')
def publish_sections(context, first, second):
    text = sections_text([first, second]).encode()
    assert call(f"{context.url}/standin/publish", text)[0] == 200


@then("the watch returns index {index:d} with those sections and their digests")
def check_watch(context, index):
    status, _, answer = context.watch.result(WAIT_SECONDS)
    assert (status, answer["index"]) == (200, index), answer
    names = [section["name"] for section in answer["sections"]]
    assert names == ["defaults", "class question"]
    digests = []
    for section in answer["sections"]:
        digests.append(hashlib.sha256(section["text"].encode()).hexdigest())
        assert section["digest"] == digests[-1]
        assert section["text"].startswith(f"[{section['name']}]\n")
    assert answer["digest"] == hashlib.sha256("".join(digests).encode()).hexdigest()


@then("a read returns index {index:d}")
def check_read(context, index):
    assert read_sections(context)[2]["index"] == index


@then("a read returns index {index:d} while the service is stale")
def check_stale(context, index):
    post_json(f"{context.url}/standin/faults", {"stale": True})
    assert read_sections(context)[2]["index"] == index
    post_json(f"{context.url}/standin/faults", {"stale": False})
    assert read_sections(context)[2]["index"] == index + 1


@given("a configuration stand-in with a rate limit of {count:d} calls per second")
def start_with_rate_limit(context, count):
    start_role(context, "configuration", reads_per_s=count)
    context.reads_per_s = count


@then("2 of 3 simultaneous calls are admitted, and 2 of 3 more one second later")
def check_rate_limit(context):
    times = [START]
    service = ConfigurationService(
        sections=[],
        index=0,
        reads_per_s=context.reads_per_s,
        controls=Controls(),
        clock=lambda: times[-1],
    )
    assert [service.admit_call() for _ in range(3)] == [True, True, False]
    times.append(START + timedelta(seconds=1))
    assert [service.admit_call() for _ in range(3)] == [True, True, False]


@then("a read and a watch are answered 429 with a Retry-After header")
def check_too_many_calls(context):
    for query in ("", "?index=0&wait_s=1"):
        status, headers, _ = read_sections(context, query)
        assert (status, headers["Retry-After"]) == (429, "1")


@given("a host list stand-in with a delay of {lag_s:d} seconds")
def start_hosts(context, lag_s):
    start_role(context, "hosts", lag_s=lag_s)


@when('host "{name}" is added to the list')
def add_host(context, name):
    host = {"name": name, "data_centre": "dc-1", "role": "endpoint"}
    assert post_json(f"{context.url}/standin/hosts", [host]) == 200
    assert post_json(f"{context.url}/standin/hosts", [{"name": 1}]) == 400


@when("the delay is set to {lag_s:d} seconds")
def set_delay(context, lag_s):
    assert post_json(f"{context.url}/standin/faults", {"lag_s": lag_s}) == 200


def host_names(context):
    """Return the names of the hosts in the served list."""
    return [host["name"] for host in call(f"{context.url}/v1/hosts")[2]["hosts"]]


@then('the served list does not contain "{name}"')
def check_not_listed(context, name):
    assert name not in host_names(context)


@then('the served list contains "{name}"')
def check_listed(context, name):
    assert name in host_names(context)


@given("a plain service stand-in")
def start_service(context):
    start_role(context, "service")


@then("each call is executed once and answered by its method, path and body")
def check_service(context):
    path = "/ledger/reel?copy=2"
    for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
        url, mark = context.url + path, {"X-Mark": method}
        _, _, answer = call(url, method.encode(), method, mark)
        expected = expected_reply(method, path, method.encode())
        assert answer["body_sha256"] == expected.body_sha256
        assert (answer["method"], answer["path"]) == (method, path)
    log = call(f"{context.url}/standin/log")[2]
    marks = [entry["mark"] for entry in log if entry["finished"]]
    assert marks == ["GET", "POST", "PUT", "PATCH", "DELETE"]
