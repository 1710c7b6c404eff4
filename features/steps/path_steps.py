"""Steps for the end-to-end request path."""

import json
import urllib.request

from behave import given, then, when

from features.deployment.libraries import libraries_of_directory, read_declared
from zinniaramp.standins import expected_text
from zinniaramp.standins.fleet import MODEL, bring_up


def processes_of(context, role):
    """Return the scenario's processes of one role."""
    return [one for one in context.fleet if one.role == role]


def log_lines(process):
    """Return the parsed JSON lines of a process's log."""
    with open(process.log) as lines:
        return [json.loads(line) for line in lines if line.startswith("{")]


def event_texts(response):
    """Yield the data of each server-sent event of a response."""
    for line in response:
        if line.startswith(b"data: "):
            yield line.removeprefix(b"data: ").strip().decode()


@given("a fleet with {entries:d} entry and {endpoints:d} endpoint")
def start_fleet(context, entries, endpoints):
    context.fleet = bring_up(context.directory, entries=entries, endpoints=endpoints)


@when("a caller sends a streamed chat request for {count:d} tokens")
def send_streamed_chat(context, count):
    context.body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "Why is this route private?"}],
        "stream": True,
        "max_tokens": count,
    }
    entry = processes_of(context, "entry")[0]
    request = urllib.request.Request(
        f"{entry.url}/v1/chat/completions",
        data=json.dumps(context.body).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=30) as response:
        context.request_id = response.headers["Zinniaramp-Request-Id"]
        context.events = list(event_texts(response))


@then("the answer equals the engine's text for that request")
def check_text(context):
    assert context.events[-1] == "[DONE]", context.events[-1]
    chunks = [json.loads(event) for event in context.events[:-1]]
    deltas = [chunk["choices"][0]["delta"] for chunk in chunks]
    text = "".join(delta.get("content", "") for delta in deltas)
    assert text == expected_text(context.body), text


def has_event(process, name, attempt):
    """Return whether a process's log has an event for an attempt."""
    return any(
        line.get("name") == name and line.get("attempt") == attempt
        for line in log_lines(process)
    )


@then("the entry's log has a routing decision for it")
def check_routing_decision(context):
    entry = processes_of(context, "entry")[0]
    assert has_event(entry, "attempt-routed", context.request_id)


@then("the endpoint's log has a placement decision for it")
def check_placement_decision(context):
    endpoint = processes_of(context, "endpoint")[0]
    assert has_event(endpoint, "attempt-placed", context.request_id)


@when("the imports of every module of the package are read")
def read_imports(context):
    context.imported = libraries_of_directory("zinniaramp")


@then("each is from the package, the standard library or a declared dependency")
def check_imports(context):
    undeclared = context.imported - read_declared(with_dev=False)
    assert not undeclared, undeclared
