"""Steps for the command and its verbs."""

import json
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when

from zinniaramp.standins import expected_text

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_SECONDS = 30

SETTINGS = """
[process]
role = entry
name = entry-1
data_centre = dc-1
[listen]
callers = 127.0.0.1:8080
[fleet]
key = loopback-fleet-key
"""
FIRST_REQUEST, SECOND_REQUEST = "a" * 24, "b" * 24


def run(context, arguments, program=("-m", "zinniaramp.commands")):
    """Run the command and store its output and exit code in ``context.finished``."""
    context.finished = subprocess.run(
        [sys.executable, *program, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


def file_content(name):
    """Return the text of the file that a step describes."""
    if name == "an entry's settings":
        return SETTINGS
    deployment = name.removeprefix("the declarations of ")
    return (ROOT / "examples" / deployment / "declarations.ini").read_text()


@given("a file with {content}")
def write_file(context, content):
    context.content = file_content(content)
    context.files = {"FILE": context.directory / "file.ini"}
    context.files["FILE"].write_text(context.content)


@given('in the file "{old}" is replaced by "{new}"')
def change_file(context, old, new):
    write_changed(context, "FILE", old, new)


@given('a second file with "{old}" replaced by "{new}"')
def write_second(context, old, new):
    context.files["SECOND"] = context.directory / "second.ini"
    write_changed(context, "SECOND", old, new)


def write_changed(context, name, old, new):
    """Write the content of the scenario's file with one text replaced."""
    assert old in context.content, old
    context.files[name].write_text(context.content.replace(old, new))


def log_line(second, name, **fields):
    """Return a log line with its time in the given second of a fixed minute."""
    time = f"2026-01-01T00:00:{second:02}.000000+00:00"
    return json.dumps({"time": time, "event": 1, "name": name, **fields}) + "\n"


@given("the logs of an entry and an endpoint with two requests")
def write_logs(context):
    first, second = f"{FIRST_REQUEST}.0.endpoint-1", f"{SECOND_REQUEST}.0.endpoint-1"
    context.files = {
        "ENTRY": context.directory / "entry.log",
        "ENDPOINT": context.directory / "endpoint.log",
    }
    context.files["ENTRY"].write_text(
        log_line(1, "attempt-routed", attempt=first)
        + log_line(1, "attempt-routed", attempt=second)
        + "a line that is not JSON with "
        + FIRST_REQUEST
        + "\n"
        + log_line(4, "request-ended", request=FIRST_REQUEST)
    )
    context.files["ENDPOINT"].write_text(
        log_line(2, "attempt-placed", attempt=first)
        + log_line(3, "attempt-ended", attempt=first)
        + log_line(3, "attempt-ended", attempt=second)
    )


@when('the command runs "{line}"')
def run_command_line(context, line):
    files = getattr(context, "files", {})
    run(context, [str(files.get(word, word)) for word in line.split()])


@when("the reference script checks the generated pages")
def check_pages(context):
    run(context, ["--check"], program=("scripts/make_reference.py",))


@then("it exits with {code:d}")
def check_code(context, code):
    finished = context.finished
    assert finished.returncode == code, (finished.returncode, finished.stderr[-400:])


@then('it exits with {code:d} and prints "{words}"')
def check_output(context, code, words):
    check_code(context, code)
    assert words in context.finished.stdout, context.finished.stdout


@then('it exits with {code:d} and prints, in this order, "{words}"')
def check_order(context, code, words):
    check_code(context, code)
    rest = context.finished.stdout
    for word in words.split():
        assert word in rest, (word, context.finished.stdout)
        rest = rest.partition(word)[2]


@then('it exits with {code:d} and prints JSON where "{path}" is "{value}"')
def check_code_and_json(context, code, path, value):
    check_code(context, code)
    check_json(context, path, value)


@then('it prints JSON where "{path}" is "{value}"')
def check_json(context, path, value):
    node = json.loads(context.finished.stdout)
    for part in path.split("."):
        node = node[int(part)] if isinstance(node, list) else node[part]
    assert str(node) == value, node


@then('it does not print "{words}"')
def check_absent(context, words):
    assert words not in context.finished.stdout + context.finished.stderr


def find_process(context, role):
    """Return the first process of the fleet with a role."""
    return next(process for process in context.fleet if process.role == role)


@when('the command sends the endpoint process "{line}"')
def run_endpoint_command(context, line):
    url = find_process(context, "endpoint").ready_url.removesuffix("/readyz")
    verb, *flags = line.split()
    run(context, [verb, url, *flags])


@when("the command sends a chat request through the entry")
def send_chat(context):
    entry = find_process(context, "entry")
    line = ["send", entry.url, "Why is this route private?", "--model", "small-model"]
    run(context, [*line, "--max-tokens", "5", "--class-name", "standard"])
    context.request_id = context.finished.stderr.split()[-1]


@then("it exits with {code:d} and prints the engine's text")
def check_text(context, code):
    check_code(context, code)
    message = {"role": "user", "content": "Why is this route private?"}
    body = {"model": "small-model", "messages": [message], "max_tokens": 5}
    assert context.finished.stdout.strip() == expected_text(body).strip()


def wait_for_end(log, request_id):
    """Wait until the entry has logged the end of a request, after its last byte."""
    request = request_id.partition(".")[0]
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not any(
        "request-ended" in line and request in line
        for line in Path(log).read_text().splitlines()
    ):
        assert time.monotonic() < deadline, request
        time.sleep(0.02)


@when("the command explains that request from the fleet's logs")
def explain_request(context):
    logs = [
        process.log
        for process in context.fleet
        if process.role in ("entry", "endpoint")
    ]
    wait_for_end(find_process(context, "entry").log, context.request_id)
    run(context, ["explain", context.request_id, *logs])
