"""Steps for complete answers, leaving endpoints and graceful shutdown."""

import http.client
import json
import os
import signal
import socket
import threading
import time

from behave import given, then, when

from features.support.crossing import ReorderingForwarder
from features.support.fleets import FleetBench, fetch_json, is_ready, wait_until
from zinniaramp.standins.forwarder import Forwarder
from zinniaramp.standins.processes import is_alive

LEAVING_SECONDS = 3
"""Time after which an endpoint that leaves receives no new requests."""
REQUEST_INTERVAL_SECONDS = 0.1
KINDS = ("streamed", "whole", "plain")
"""Kinds of requests, as in `Answer.kind`."""
ORDINALS = {"first": 0, "second": 1}


@given(
    "a fleet of {entries:d} {n1:w}, {endpoints:d} {n2:w} and {services:d} {n3:w} "
    "behind {kind}"
)
def start_fleet(context, entries, endpoints, services, kind, **nouns):
    fleet = context.bench = FleetBench(directory=context.directory)
    context.add_cleanup(fleet.close)
    context.end_fleet = fleet.kill_all
    context.stopped = threading.Event()
    context.add_cleanup(context.stopped.set)
    fleet.start(
        entries=entries,
        endpoints=endpoints,
        services=services,
        forwarder=ReorderingForwarder if "reordering" in kind else Forwarder,
    )


def wait_started(bench, answers):
    """Wait until all requests have started and fast streamed answers have text."""
    marks = {one.mark for one in answers}
    backends = bench.by_role("engine") + bench.by_role("service")

    def taken():
        return {
            entry["mark"]
            for one in backends
            for entry in fetch_json(f"{one.url}/standin/log")
        }

    wait_until(lambda: marks <= taken(), "requests at engines and services")
    streamed = [
        one for one in answers if one.kind == "streamed" and not one.unblock_reading
    ]
    wait_until(lambda: all(one.text or one.error for one in streamed), "first text")


@when("{count:d} callers, some of them slow, have started to receive answers")
def start_mixed(context, count):
    context.unblock_reading = threading.Event()
    entries = context.bench.by_role("entry")
    answers = []
    for number in range(count):
        kind = KINDS[number % len(KINDS)]
        is_slow = kind == "streamed" and number % 2
        answers.append(
            context.bench.send_request(
                kind,
                entries[number // len(KINDS) % len(entries)],
                tokens=100,
                unblock_reading=context.unblock_reading if is_slow else None,
            )
        )
    wait_started(context.bench, answers)


@when(
    "{count:d} callers of the first entry have started to receive answers "
    "of {tokens:d} tokens"
)
def start_streamed(context, count, tokens):
    entry = context.bench.by_role("entry")[0]
    answers = [
        context.bench.send_request("streamed", entry, tokens=tokens)
        for _ in range(count)
    ]
    wait_started(context.bench, answers)


@when("{count:d} more callers send requests while every stream is silent")
def send_more(context, count):
    silence_streams(context)
    entries = context.bench.by_role("entry")
    for number in range(count):
        context.bench.send_request(KINDS[number % 3], entries[number % len(entries)])


@when("every stream is disconnected")
def disconnect_streams(context):
    for one in context.bench.forwarders.values():
        one.close_connections()


@when("every stream goes silent")
def silence_streams(context):
    for one in context.bench.forwarders.values():
        one.silence()


@when("every new stream goes silent permanently")
def silence_new_streams(context):
    for entry in context.bench.by_role("entry"):
        wait_until(lambda e=entry: context.bench.opened(e), "new streams")
    silence_streams(context)


@when("the first entry is killed")
def kill_entry(context):
    context.bench.kill(context.bench.by_role("entry")[0])
    context.bench.join()


@when("the endpoint is killed while its streams are silent")
def kill_endpoint(context):
    silence_streams(context)
    context.bench.kill(context.bench.by_role("endpoint")[0])


@then("no answer of the first entry appears complete")
def check_incomplete(context):
    for one in context.bench.answers:
        assert one.error and not one.looks_complete(), (one.mark, one.error)


def wait_for_answers(context):
    """Stop new requests, let slow callers read, and wait for every answer."""
    context.stopped.set()
    if hasattr(context, "unblock_reading"):
        context.unblock_reading.set()
    context.bench.join()


@then("every answer is complete and correct")
def check_complete(context):
    wait_for_answers(context)
    wrong = [
        (one.mark, one.status, one.error, len(one.text), one.is_ended)
        for one in context.bench.answers
        if not one.is_complete()
    ]
    assert not wrong, f"{len(wrong)} of {len(context.bench.answers)}: {wrong[:6]}"


@then("every answer is complete or was refused as not run")
def check_complete_or_refused(context):
    wait_for_answers(context)
    answers = context.bench.answers
    wrong = [
        (one.mark, one.status, one.error, len(one.text), one.sent_at)
        for one in answers
        if not one.is_complete() and not one.is_refused()
    ]
    assert not wrong, f"{len(wrong)} of {len(answers)}: {wrong[:6]}"
    assert any(one.is_complete() for one in answers)


@then("every answer ends with an error and none appears complete")
def check_none_complete(context):
    wait_for_answers(context)
    check_incomplete(context)


@when("callers keep sending requests")
def keep_sending(context):
    kinds = KINDS if context.bench.by_role("service") else KINDS[:2]

    def run():
        number = 0
        while not context.stopped.wait(REQUEST_INTERVAL_SECONDS):
            for entry in context.bench.by_role("entry"):
                number += 1
                if is_alive(entry) and entry.name not in context.bench.draining:
                    context.bench.send_request(kinds[number % len(kinds)], entry)

    context.bench.start_thread(run)
    wait_until(lambda: len(context.bench.answers) > 5, "callers")


@when("the first entry is frozen")
def freeze(context):
    os.kill(context.bench.by_role("entry")[0].pid, signal.SIGSTOP)
    pid = context.bench.by_role("entry")[0].pid
    context.add_cleanup(lambda: os.kill(pid, signal.SIGCONT))


@when("the first entry resumes {seconds:d} s after that")
def resume_entry(context, seconds):
    wait_until(lambda: time.time() > max(context.left.values()) + seconds, "time")
    os.kill(context.bench.by_role("entry")[0].pid, signal.SIGCONT)


@when("callers have sent requests for {seconds:d} s more")
def send_longer(context, seconds):
    end = time.time() + seconds
    wait_until(
        lambda: any(one.sent_at > end for one in context.bench.answers), "callers"
    )


@when("the host list does not answer")
def silence_list(context):
    hosts = context.bench.by_role("hosts")[0].url
    fetch_json(f"{hosts}/standin/faults", {"silent": True})


@when("the first endpoint and the second entry have read the list")
def wait_list_read(context):
    bench = context.bench
    left, entry = bench.by_role("endpoint")[0], bench.by_role("entry")[1]

    def is_read():
        peers = fetch_json(f"{entry.operator}/status")["peers"]
        states = {peer["host"]: peer["state"] for peer in peers}
        is_known = states.get(left.name, "leaving") == "leaving"
        return is_known and fetch_json(f"{left.operator}/status")["is_leaving"]

    wait_until(is_read, "the list is read", LEAVING_SECONDS)


def record_leaving(context, number):
    """Record that an endpoint begins to leave now, under the name of its engine."""
    context.left = getattr(context, "left", {})
    context.left[f"engine-{number}"] = time.time()


@when("the first endpoint is listed as leaving in the host list only")
def leave_by_list(context):
    hosts = context.bench.by_role("hosts")[0].url
    fetch_json(f"{hosts}/standin/faults", {"lag_s": 0})
    listed = fetch_json(f"{hosts}/v1/hosts")["hosts"]
    name = context.bench.by_role("endpoint")[0].name
    for one in listed:
        one["state"] = "leaving" if one["name"] == name else one["state"]
    fetch_json(f"{hosts}/standin/hosts", listed)
    record_leaving(context, 0)


@when("the {ordinal} endpoint is drained through its operators' address only")
def leave_by_drain(context, ordinal):
    number = ORDINALS[ordinal]
    fetch_json(f"{context.bench.by_role('endpoint')[number].operator}/drain", {})
    record_leaving(context, number)


@then(
    "the engines of these endpoints started no request later than "
    "{seconds:d} s after that"
)
def check_no_late_start(context, seconds):
    for name, left in context.left.items():
        executions = fetch_json(f"{context.bench.process(name).url}/standin/log")
        late = [
            (one["mark"], round(one["started"] - left, 2))
            for one in executions
            if one["started"] and one["started"] > left + seconds
        ]
        assert executions, f"{name} never started a request"
        assert not late, f"{name} started {len(late)} requests late: {late[:6]}"


@then("the other engine started a request later")
def check_other_engine(context):
    leaving_end = max(context.left.values()) + LEAVING_SECONDS
    others = [e for e in context.bench.by_role("engine") if e.name not in context.left]
    logs = [fetch_json(f"{one.url}/standin/log") for one in others]
    started = [one["started"] for log in logs for one in log]
    assert any(one and one > leaving_end for one in started)


@when("each entry and endpoint is ended with SIGTERM and restarted in turn")
def restart_in_turn(context):
    context.exit_codes, context.closed_in_order = {}, {}
    bench = context.bench
    endpoints = bench.by_role("endpoint")
    service_endpoints = {
        one.name: one for one in endpoints if one.name.startswith("service")
    }
    groups = [[one] for one in bench.by_role("entry")]
    groups += [
        [one, service_endpoints[f"service-{one.name}"]]
        for one in endpoints
        if one.name not in service_endpoints
    ]
    for group in groups:
        restart(context, group)


def restart(context, group):
    """End processes with SIGTERM and restart them when all have ended."""
    bench = context.bench
    bench.draining |= {one.name for one in group}
    ended = [bench.terminate(one) for one in group]
    for process in group:
        if process.role == "entry":
            context.closed_in_order[process.name] = is_unready_before_close(process)
    for process, wait in zip(group, ended, strict=True):
        context.exit_codes[process.name] = wait()
    bench.restart(group)
    for entry in bench.by_role("entry"):
        wait_until(lambda e=entry: bench.opened(e), "streams")
    bench.draining -= {one.name for one in group}


def can_connect(process):
    """Return whether a process's port for callers accepts connections."""
    host, port = process.address.split(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


def is_unready_before_close(process):
    """Return whether a process becomes unready while its port is still open."""
    wait_until(lambda: not is_ready(process), "not ready")
    was_open = can_connect(process)
    wait_until(lambda: not can_connect(process), "port closed")
    return was_open


@then("each ended with exit code 0")
def check_exit_codes(context):
    assert set(context.exit_codes.values()) == {0}, context.exit_codes


@then("each entry was not ready before its port was closed")
def check_closed_in_order(context):
    assert all(context.closed_in_order.values()), context.closed_in_order


@when("the first {role} receives SIGTERM")
def stop(context, role):
    context.process = context.bench.by_role(role)[0]
    context.ended = context.bench.terminate(context.process)


@then("it ends with exit code 0")
def check_exit_code(context):
    wait_for_answers(context)
    code = context.ended()
    assert code == 0, code


@when("a caller has sent half of a request on a reused connection")
def send_half(context):
    bench = context.bench
    entry = bench.by_role("entry")[0]
    host, port = entry.address.split(":")
    context.half_sent = bench.send_request("whole", entry)
    bench.join()
    data = json.dumps(context.half_sent.body).encode()
    context.reused_connection = http.client.HTTPConnection(host, int(port), timeout=20)
    context.reused_connection.request("GET", "/v1/models")
    context.reused_connection.getresponse().read()
    context.reused_connection.putrequest("POST", "/v1/chat/completions")
    context.reused_connection.putheader("Content-Type", "application/json")
    context.reused_connection.putheader("Content-Length", str(len(data)))
    context.reused_connection.endheaders()
    context.reused_connection.send(data[:10])
    context.other_half = data[10:]
    context.half_sent.text, context.half_sent.is_ended = "", False


@when("the entry's port is closed")
def wait_closed(context):
    wait_until(lambda: not can_connect(context.process), "port closed")


@when("the other half is sent")
def send_other_half(context):
    context.reused_connection.send(context.other_half)
    context.half_sent.read(context.reused_connection.getresponse())
