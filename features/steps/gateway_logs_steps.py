"""Steps for the logs and metrics of the gateway."""

import json
import os
from pathlib import Path

from behave import given, then, when

from zinniaramp.commands.explain import read_request_events
from zinniaramp.observability import LogWriter
from zinniaramp.observability.writer import MAX_QUEUED_BYTES
from zinniaramp.sockets import Address

BASE_LINE = {"time": "2026-01-01T00:00:00+00:00", "level": "INFO", "event": 2000}


@then("the metrics count the request by route and status")
def metrics_count(context):
    rig = context.rig
    settings = rig.daemons[0].settings
    address = Address(ip=settings.ip, port=settings.metrics_port)
    data = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    text = rig.run(rig.exchange(data, address)).body.decode()
    labels = 'by="endpoint",route="read",status="200"'
    assert f"zinniaramp_gateway_answers_total{{{labels}}}" in text
    assert 'zinniaramp_gateway_sends_total{fate="answered"}' in text
    assert "zinniaramp_gateway_configuration_version 7.0" in text
    assert "zinniaramp_gateway_store_lost 0.0" in text


@given("a log whose reader has stalled")
def stalled_log(context):
    context.reader, writer = os.pipe()
    context.writer = LogWriter(descriptor=writer)


@when("{count:d} lines are written")
def lines_written(context, count):
    for number in range(count):
        context.writer(f'{{"number": {number}}}\n')


@then("no write blocked, and the memory of the queue is bounded")
def memory_bounded(context):
    assert context.writer.queued_bytes <= MAX_QUEUED_BYTES
    assert context.writer.dropped > 0


@when("the reader resumes")
def reader_resumes(context):
    context.written = b""
    while context.writer.queue:
        context.written += os.read(context.reader, MAX_QUEUED_BYTES)
        context.writer.flush()
    context.written += os.read(context.reader, MAX_QUEUED_BYTES)


@then("the log reports the number of dropped lines")
def log_reports_dropped(context):
    *written, last = [json.loads(line) for line in context.written.splitlines()]
    assert last["name"] == "lines-dropped"
    assert len(written) + last["lines"] == 20000
    assert [line["number"] for line in written] == list(range(len(written)))


def explain_request(context, request):
    """Return the events that `explain` finds for a request in prefixed log lines."""
    path = Path(context.directory) / "entry.log"
    lines = [
        "  1.5 edge-1 " + json.dumps({**BASE_LINE, "name": name, **values}, default=str)
        for name, values in context.rig.events
    ]
    path.write_text("\n".join(lines))
    return read_request_events(request, [path])


@then("`explain` shows both sends and the answer from prefixed lines")
def explained(context):
    events = explain_request(context, context.name)
    names = [line.name for line in events]
    sends = ["endpoint-chosen", "send-ended"]
    assert names == sends + sends + ["answered"], names
    assert {line.source for line in events} == {"edge-1"}


@then(
    'the log of each send has the software "{version}" and the event after which it '
    "goes on"
)
def check_logged_software(context, version):
    chosen = context.rig.logged_events("endpoint-chosen")
    assert [event["software"] for event in chosen] == [version, version], chosen
    assert [event["after_event"] for event in chosen] == [None, "2"], chosen


@then('`explain` shows that the request resumes "{first}"')
def check_explains_resumed(context, first):
    events = explain_request(context, first)
    assert [event.fields["request"] for event in events] == [context.name], events


@when('"{text}" is sent with the body "{body}"')
def send_with_body(context, text, body):
    method, path = text.split()
    call = context.rig.call(path, method=method, body=body.encode())
    context.reply = context.rig.run(call)


@then(
    "the first {count:d} of {total:d} sends have the same fingerprint and the others "
    "have none of theirs"
)
def check_fingerprints(context, count, total):
    chosen = context.rig.logged_events("endpoint-chosen")
    fingerprints = [event["fingerprint"] for event in chosen]
    assert len(fingerprints) == total, fingerprints
    assert len(set(fingerprints[:count])) == 1, fingerprints
    assert len(set(fingerprints)) == total - count + 1, fingerprints
