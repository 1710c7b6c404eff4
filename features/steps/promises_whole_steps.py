"""Steps of the proofs of whole answers, leaving and shutdown."""

import http.client
import json
import os
import signal
import socket
import threading
import time

from behave import given, then, when

from features.support.crossing import CrossingForwarder
from features.support.fleets import Answer, Bench, ask, is_ready, wait_until
from zinniaramp.standins.forwarder import Forwarder
from zinniaramp.standins.processes import is_alive

LEAVING_SECONDS = 3
ASK_INTERVAL_SECONDS = 0.1
KINDS = ("streamed", "whole", "plain")
ORDINALS = {"first": 0, "second": 1}


@given(
    "a fleet of {entries:d} {w1:w}, {endpoints:d} {w2:w} and {services:d} {w3:w} "
    "behind {kind}"
)
def start_fleet(context, entries, endpoints, services, kind, **words):
    fleet = context.bench = Bench(directory=context.directory)
    context.add_cleanup(fleet.close)
    context.end_fleet = fleet.kill_all
    context.stopped = threading.Event()
    context.add_cleanup(context.stopped.set)
    fleet.start(
        entries=entries,
        endpoints=endpoints,
        services=services,
        forwarder=CrossingForwarder if "crossing" in kind else Forwarder,
    )


def wait_begun(bench, answers):
    """Wait until all requests have begun to run, and streamed answers have come."""
    marks = {one.mark for one in answers}
    backends = bench.of("engine") + bench.of("service")

    def taken():
        return {
            entry["mark"] for one in backends for entry in ask(f"{one.url}/standin/log")
        }

    wait_until(lambda: marks <= taken(), "taken by engines and services")
    streamed = [
        one for one in answers if one.kind == "streamed" and not one.reads_slowly
    ]
    wait_until(lambda: all(one.text or one.error for one in streamed), "begun")


@when("{count:d} callers, some of them slow, have begun to receive answers")
def begin_mixed(context, count):
    context.read_on = threading.Event()
    entries = context.bench.of("entry")
    answers = []
    for number in range(count):
        kind = KINDS[number % len(KINDS)]
        is_slow = kind == "streamed" and number % 2
        answers.append(
            context.bench.ask_for(
                kind,
                entries[number // len(KINDS) % len(entries)],
                tokens=100,
                reads_slowly=context.read_on if is_slow else None,
            )
        )
    wait_begun(context.bench, answers)


@when(
    "{count:d} callers of the first entry have begun to receive answers "
    "of {tokens:d} tokens"
)
def begin_streamed(context, count, tokens):
    entry = context.bench.of("entry")[0]
    asked = [
        context.bench.ask_for("streamed", entry, tokens=tokens) for _ in range(count)
    ]
    wait_begun(context.bench, asked)


@when("{count:d} more callers ask while every stream is silent")
def ask_more(context, count):
    silence_streams(context)
    entries = context.bench.of("entry")
    for number in range(count):
        context.bench.ask_for(KINDS[number % 3], entries[number % len(entries)])


@when("every stream is cut")
def cut_streams(context):
    for one in context.bench.forwarders.values():
        one.close_connections()


@when("every stream is silenced")
def silence_streams(context):
    for one in context.bench.forwarders.values():
        one.silence()


@when("every new stream goes silent for good")
def silence_new_streams(context):
    for entry in context.bench.of("entry"):
        wait_until(lambda e=entry: context.bench.opened(e), "new streams")
    silence_streams(context)


@when("the first entry is killed")
def kill_entry(context):
    context.bench.kill(context.bench.of("entry")[0])
    context.bench.join()


@when("the endpoint is killed while its streams are silent")
def kill_endpoint(context):
    silence_streams(context)
    context.bench.kill(context.bench.of("endpoint")[0])


@then("no answer of the first entry looks whole")
def check_broken(context):
    for one in context.bench.answers:
        assert one.error and not one.looks_whole(), (one.mark, one.error)


@when("its callers ask the second entry for the rest")
def continue_elsewhere(context):
    url = context.bench.of("entry")[1].url
    for one in context.bench.answers:
        context.bench.spawn(lambda one=one: one.continue_at(url))


def join_all(context):
    """Let slow callers read on and wait for every answer."""
    context.stopped.set()
    if hasattr(context, "read_on"):
        context.read_on.set()
    context.bench.join()


@then("every answer is whole and its own")
def check_whole(context):
    join_all(context)
    wrong = [
        (one.mark, one.status, one.error, len(one.text), one.is_ended)
        for one in context.bench.answers
        if not one.is_whole()
    ]
    assert not wrong, f"{len(wrong)} of {len(context.bench.answers)}: {wrong[:6]}"


@then("every answer is whole or was refused as not run")
def check_whole_or_refused(context):
    join_all(context)
    answers = context.bench.answers
    wrong = [
        (one.mark, one.status, one.error, len(one.text), one.asked)
        for one in answers
        if not one.is_whole() and not one.is_refused()
    ]
    assert not wrong, f"{len(wrong)} of {len(answers)}: {wrong[:6]}"
    assert any(one.is_whole() for one in answers)


@then("every answer ends with an error and none looks whole")
def check_none_whole(context):
    join_all(context)
    check_broken(context)


@when("callers keep asking")
def keep_asking(context):
    kinds = KINDS if context.bench.of("service") else KINDS[:2]

    def run():
        number = 0
        while not context.stopped.wait(ASK_INTERVAL_SECONDS):
            for entry in context.bench.of("entry"):
                number += 1
                if is_alive(entry) and entry.name not in context.bench.draining:
                    context.bench.ask_for(kinds[number % len(kinds)], entry)

    context.bench.spawn(run)
    wait_until(lambda: len(context.bench.answers) > 5, "callers")


@when("the first entry is frozen")
def freeze(context):
    os.kill(context.bench.of("entry")[0].pid, signal.SIGSTOP)
    wake = context.bench.of("entry")[0].pid
    context.add_cleanup(lambda: os.kill(wake, signal.SIGCONT))


@when("the first entry wakes {seconds:d} s after that")
def wake_entry(context, seconds):
    wait_until(lambda: time.time() > max(context.left.values()) + seconds, "time")
    os.kill(context.bench.of("entry")[0].pid, signal.SIGCONT)


@when("callers have asked for {seconds:d} s more")
def ask_longer(context, seconds):
    until = time.time() + seconds
    wait_until(
        lambda: any(one.asked > until for one in context.bench.answers), "callers"
    )


@when("the host list is silent")
def silence_list(context):
    hosts = context.bench.of("hosts")[0].url
    ask(f"{hosts}/standin/faults", {"silent": True})


@when("the list has been heard by the first endpoint and the second entry")
def wait_heard(context):
    bench = context.bench
    left, entry = bench.of("endpoint")[0], bench.of("entry")[1]

    def has_left():
        peers = ask(f"{entry.operator}/status")["peers"]
        states = {peer["host"]: peer["state"] for peer in peers}
        is_known = states.get(left.name, "leaving") == "leaving"
        return is_known and ask(f"{left.operator}/status")["is_leaving"]

    wait_until(has_left, "the list to be heard", LEAVING_SECONDS)


def note_leaving(context, number):
    """Note that an endpoint is leaving now."""
    context.left = getattr(context, "left", {})
    context.left[f"engine-{number}"] = time.time()


@when("the first endpoint leaves by the host list alone")
def leave_by_list(context):
    hosts = context.bench.of("hosts")[0].url
    ask(f"{hosts}/standin/faults", {"lag_s": 0})
    listed = ask(f"{hosts}/v1/hosts")["hosts"]
    name = context.bench.of("endpoint")[0].name
    for one in listed:
        one["state"] = "leaving" if one["name"] == name else one["state"]
    ask(f"{hosts}/standin/hosts", listed)
    note_leaving(context, 0)


@when("the {ordinal} endpoint leaves by its own word alone")
def leave_by_process(context, ordinal):
    number = ORDINALS[ordinal]
    ask(f"{context.bench.of('endpoint')[number].operator}/drain", {})
    note_leaving(context, number)


@then("no engine behind them started anything later than {seconds:d} s after that")
def check_engine(context, seconds):
    for name, left in context.left.items():
        executed = ask(f"{context.bench.named(name).url}/standin/log")
        late = [
            (one["mark"], round(one["started"] - left, 2))
            for one in executed
            if one["started"] and one["started"] > left + seconds
        ]
        assert executed, f"{name} never started anything"
        assert not late, f"{name} started {len(late)} late: {late[:6]}"


@then("the other engine did start something later")
def check_others(context):
    bound = max(context.left.values()) + LEAVING_SECONDS
    others = [e for e in context.bench.of("engine") if e.name not in context.left]
    logs = [ask(f"{one.url}/standin/log") for one in others]
    started = [one["started"] for log in logs for one in log]
    assert any(one and one > bound for one in started)


@when("each entry and endpoint is ended with SIGTERM and started again in turn")
def roll(context):
    context.codes, context.orders = {}, {}
    bench = context.bench
    endpoints = bench.of("endpoint")
    beside = {one.name: one for one in endpoints if one.name.startswith("service")}
    turns = [[one] for one in bench.of("entry")]
    turns += [
        [one, beside[f"service-{one.name}"]]
        for one in endpoints
        if one.name not in beside
    ]
    for turn in turns:
        restart(context, turn)


def restart(context, turn):
    """End processes with SIGTERM and start them again once they have ended."""
    bench = context.bench
    bench.draining |= {one.name for one in turn}
    ended = [bench.terminate(one) for one in turn]
    for process in turn:
        if process.role == "entry":
            context.orders[process.name] = watch_order(process)
    for process, wait in zip(turn, ended, strict=True):
        context.codes[process.name] = wait()
    bench.start_again(turn)
    for entry in bench.of("entry"):
        wait_until(lambda e=entry: bench.opened(e), "streams")
    bench.draining -= {one.name for one in turn}


def can_connect(process):
    """Tell whether a process's port for callers is open."""
    host, port = process.address.split(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


def watch_order(process):
    """Return whether readiness was false while the port was still open."""
    wait_until(lambda: not is_ready(process), "not ready")
    was_open = can_connect(process)
    wait_until(lambda: not can_connect(process), "port closed")
    return was_open


@then("each ended with exit code 0")
def check_codes(context):
    assert set(context.codes.values()) == {0}, context.codes


@then("each entry was not ready before its port was closed")
def check_orders(context):
    assert all(context.orders.values()), context.orders


@when("the first {role} is told to stop")
def stop(context, role):
    context.process = context.bench.of(role)[0]
    context.ended = context.bench.terminate(context.process)


@then("it ends with exit code 0")
def check_code(context):
    join_all(context)
    code = context.ended()
    assert code == 0, code


@when("a caller has sent half of a request on a connection used before")
def send_half(context):
    bench = context.bench
    entry = bench.of("entry")[0]
    host, port = entry.address.split(":")
    context.half = bench.ask_for("whole", entry)
    bench.join()
    data = json.dumps(context.half.body).encode()
    context.kept = http.client.HTTPConnection(host, int(port), timeout=20)
    context.kept.request("GET", "/v1/models")
    context.kept.getresponse().read()
    context.kept.putrequest("POST", "/v1/chat/completions")
    context.kept.putheader("Content-Type", "application/json")
    context.kept.putheader("Content-Length", str(len(data)))
    context.kept.endheaders()
    context.kept.send(data[:10])
    context.rest = data[10:]
    context.half.text, context.half.is_ended = "", False


@when("the entry's port is closed")
def wait_closed(context):
    wait_until(lambda: not can_connect(context.process), "port closed")


@when("the other half is sent")
def send_rest(context):
    context.kept.send(context.rest)
    context.half.read(context.kept.getresponse())


@when("the second entry is asked for an answer from beyond its end")
def ask_beyond(context):
    first = context.bench.answers[0]
    context.beyond = Answer(
        kind="streamed",
        url=context.bench.of("entry")[1].url,
        mark="beyond",
        body=first.body,
        request_id=first.request_id,
        next_event=1000,
    )
    context.beyond.continue_at(context.beyond.url)


@then("that answer does not look whole")
def check_beyond(context):
    assert not context.beyond.is_ended and context.beyond.error, context.beyond


@when("a plain answer is asked for again at the second entry")
def ask_plain_again(context):
    plain = context.bench.ask_for("plain", context.bench.of("entry")[1])
    context.bench.join()
    plain.status, plain.raw = 0, b""
    plain.continue_at(plain.url)
