"""Steps for bad input from peers, against real processes."""

import dataclasses
import json
import threading
import urllib.request

import msgpack
import psutil
from behave import given, then
from hypothesis import given as for_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from features.support.raw_peer import READ_BYTES, REVISION, RawPeer
from features.support.running_fleet import fetch_json, read_events, wait_until
from zinniaramp.contracts import (
    Cancel,
    Credit,
    Hello,
    Leaving,
    Offer,
    Ping,
    Pong,
    Resume,
    SectionsReply,
    SectionsRequest,
    TicketRequest,
)
from zinniaramp.contracts.codec import MAX_FRAME_BYTES, encode
from zinniaramp.standins import expected_text
from zinniaramp.standins.fleet import MODEL

EXAMPLES = 12
"""Lists of cases that hypothesis generates for a check."""
CASES_PER_EXAMPLE = 4
"""Cases in each list, which are checked at the same time."""
WAIT_LIMIT_SECONDS = 10
SLOW_FACTOR = 20
"""Factor on the engine's times, so that the answer outlasts the checks."""
MAX_MEMORY_BYTES = 256 * 1024 * 1024
"""Memory that bad input may make an endpoint process use at most."""
MAX_HELLO_BYTES = 64 * 1024
OFFER = Offer(
    attempt_id="bad",
    target=MODEL,
    class_name="standard",
    workspace="",
    revision_index=0,
    deadline_s=30.0,
    ticket="",
    method="POST",
    path="/v1/chat/completions",
    headers=[],
    body=b"{",
    credit=1,
)

scalars = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats()
values = st.recursive(
    scalars | st.text(max_size=20) | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=20,
)
wrongly_typed = st.builds(
    lambda kind, fields: msgpack.packb([kind, *fields, {"no": "field"}]),
    st.integers(0, 40),
    st.lists(values, max_size=12),
)
non_messages = values.filter(lambda value: not isinstance(value, list)).map(
    msgpack.packb
)
# MessagePack never uses the byte 0xc1.
invalid_bytes = st.binary(min_size=1, max_size=40).map(lambda data: b"\xc1" + data)
# A message of kind 3 whose only field is a byte string of the declared size.
oversized = st.integers(MAX_FRAME_BYTES + 1, 2**32 - 1).map(
    lambda size: (
        b"\x92\x03\xc6" + size.to_bytes(4, "big") + bytes(MAX_FRAME_BYTES + READ_BYTES)
    )
)
truncated = st.integers(1, 20).map(lambda cut: encode(OFFER)[:-cut])
bad_frames = wrongly_typed | non_messages | invalid_bytes | oversized | truncated

names = st.sampled_from(["bad", "worse", ""])
numbers = st.integers(-(2**40), 2**40)
deadlines = st.sampled_from([-1.0, 0.0, 0.001, 1e9, 1e15, 1.7e308])
out_of_order = st.one_of(
    st.builds(Resume, attempt_id=names, from_sequence=numbers, credit=numbers),
    st.builds(Credit, attempt_id=names, limit=numbers),
    st.builds(Cancel, attempt_id=names),
    st.builds(Leaving, incarnation=names),
    st.just(SectionsReply(revision=REVISION, digests=["x"], texts=["y"])),
    st.builds(TicketRequest, request_id=names, class_name=names, workspace=names),
    st.builds(
        lambda name, deadline: dataclasses.replace(
            OFFER, attempt_id=name, deadline_s=deadline
        ),
        names,
        deadlines,
    ),
    st.just(Hello(incarnation="x/y", role="", revision=REVISION, proof=b"")),
)


def check_examples(examples, strategy, check):
    """Call a check with lists of `CASES_PER_EXAMPLE` generated cases."""

    @hypothesis_settings(max_examples=examples)
    @for_any(st.lists(strategy, min_size=CASES_PER_EXAMPLE, max_size=CASES_PER_EXAMPLE))
    def run(cases):
        check(cases)

    run()


def endpoint(context):
    """Return the endpoint process."""
    return context.running.process("endpoint-0")


def check_events(context, peers, number):
    """Check that the endpoint process logs an event with each peer's address.

    Parameters
    ----------
    context : Context
        Context of the scenario.
    peers : list of RawPeer
        Peers with the logged addresses.
    number : int
        Number of the event: 1201 for ``stream-closed``, 1202 for ``bad-frame``, 1203
        for ``peer-refused`` and 1204 for ``write-buffer-full``.
    """

    def are_logged():
        events = read_events(endpoint(context).log)
        logged = {one.get("peer") for one in events if one["event"] == number}
        return {peer.name for peer in peers} <= logged

    assert wait_until(are_logged, WAIT_LIMIT_SECONDS), ([p.name for p in peers], number)


def check_closed(context, peers, number):
    """Check that each peer's connection is closed and that the event is logged."""
    for peer in peers:
        assert peer.is_closed(), peer.name
        peer.close()
    check_events(context, peers, number)


@given("a running fleet of 1 entry and 1 endpoint")
def start_fleet(context):
    context.execute_steps("Given a running fleet of 1 entries and 1 endpoints")


def set_speed(context, factor):
    """Set the factor on the engine's times."""
    body = json.dumps({"slow": factor}).encode()
    fetch_json(f"{context.running.process('engine-0').url}/standin/faults", body)


@given("a caller has started to receive an answer of {count:d} tokens")
def start_answer(context, count):
    context.body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "whole"}],
        "stream": True,
        "max_tokens": count,
        "metadata": {"output_tokens": count},
    }
    set_speed(context, SLOW_FACTOR)
    started = threading.Event()
    context.lines = []

    def read():
        url = f"{context.running.process('entry-0').url}/v1/chat/completions"
        request = urllib.request.Request(url, data=json.dumps(context.body).encode())
        with urllib.request.urlopen(request, timeout=30) as response:
            for line in response:
                if line.startswith(b"data: "):
                    context.lines.append(line.removeprefix(b"data: ").strip())
                    started.set()

    context.caller = threading.Thread(target=read)
    context.caller.start()
    assert started.wait(WAIT_LIMIT_SECONDS)


@then("the caller receives the complete answer over the original stream")
def check_answer(context):
    assert context.caller.is_alive(), "the answer ended before the checks did"
    set_speed(context, 1)
    context.caller.join(30)
    assert context.lines[-1] == b"[DONE]", context.lines[-1]
    deltas = [json.loads(one)["choices"][0]["delta"] for one in context.lines[:-1]]
    text = "".join(delta.get("content", "") for delta in deltas)
    assert text == expected_text(context.body)
    events = read_events(context.running.process("entry-0").log)
    routed = next(i for i, one in enumerate(events) if one["name"] == "attempt-routed")
    names = [one["name"] for one in events[routed:]]
    assert "stream-closed" not in names and "answer-asked-again" not in names, names


@then("any bad frames on several streams close each stream and are logged")
def check_bad_frames(context):
    def check(cases):
        peers = [RawPeer(endpoint(context).address).open() for _ in cases]
        for peer, data in zip(peers, cases, strict=True):
            peer.send(data)
            peer.finish()
        check_closed(context, peers, 1201)

    check_examples(EXAMPLES, bad_frames, check)
    whole = wrongly_typed | non_messages | invalid_bytes | oversized

    def check_open_side(cases):
        peers = [RawPeer(endpoint(context).address).open() for _ in cases]
        for peer, data in zip(peers, cases, strict=True):
            peer.send(data)
        check_closed(context, peers, 1202)

    check_examples(EXAMPLES, whole, check_open_side)


@then("any messages out of order either close a stream or leave it usable")
def check_out_of_order(context):
    def check(cases):
        peer = RawPeer(endpoint(context).address).open()
        for message in cases:
            peer.send(encode(message))
        peer.send(encode(Ping(number=77, revision=REVISION)))
        while messages := peer.read_messages():
            if any(isinstance(m, Pong) and m.number == 77 for m in messages):
                peer.close()
                return
        check_events(context, [peer], 1202)

    check_examples(4 * EXAMPLES, out_of_order, check)


@then("arrays of any declared length take no memory")
def check_arrays(context):
    process = psutil.Process(endpoint(context).pid)
    before = process.memory_info().vms
    # An array of 4 194 303 items and a map of 2 097 151.
    for header in (b"\xdd\x00\x3f\xff\xff", b"\xdf\x00\x1f\xff\xff"):
        peers = [
            RawPeer(endpoint(context).address).open() for _ in range(CASES_PER_EXAMPLE)
        ]
        for peer in peers:
            peer.send(header * 200)
        wait_until(lambda: process.memory_info().vms > before + MAX_MEMORY_BYTES, 0.5)
        growth = process.memory_info().vms - before
        assert growth < MAX_MEMORY_BYTES, growth
        check_closed(context, peers, 1202)


@then("the endpoint process uses less than 256 MB and no task has failed")
def check_memory(context):
    size = psutil.Process(endpoint(context).pid).memory_info().rss
    assert size < MAX_MEMORY_BYTES, size
    names = [one["name"] for one in read_events(endpoint(context).log)]
    assert "task-failed" not in names and "library-message" not in names, names


@then("any bytes in place of a hello are refused and logged")
def check_no_hello(context):
    def check(cases):
        peers = [RawPeer(endpoint(context).address) for _ in cases]
        for peer, data in zip(peers, cases, strict=True):
            peer.send(data)
            peer.finish()
        check_closed(context, peers, 1203)

    check_examples(EXAMPLES, bad_frames, check)


@then("a hello with another key and a replayed hello are refused and logged")
def check_proofs(context):
    address = endpoint(context).address
    unknown_key_peer, valid_peer, replaying_peer = (RawPeer(address) for _ in range(3))
    unknown_key_peer.send(unknown_key_peer.make_hello("another-key-of-16-letters"))
    hello = valid_peer.make_hello()
    valid_peer.send(hello)
    assert valid_peer.read_messages()
    replaying_peer.send(hello)
    check_closed(context, [unknown_key_peer, replaying_peer], 1203)
    valid_peer.close()


@then("a hello above 64 KB is refused before it has arrived completely")
def check_long_hello(context):
    peer = RawPeer(endpoint(context).address)
    peer.send(b"\x92\x01\xc6" + (2**20).to_bytes(4, "big") + bytes(3 * MAX_HELLO_BYTES))
    check_closed(context, [peer], 1202)
    check_events(context, [peer], 1203)


@then("a peer that requests sections without reading is closed and logged")
def check_unread(context):
    peer = RawPeer(endpoint(context).address).open()
    data = encode(SectionsRequest(known_digests=[])) * 2000
    peer.socket.settimeout(1)
    for _ in range(40):
        try:
            peer.send(data)
        except TimeoutError:
            break
    check_events(context, [peer], 1204)
    peer.close()


bad_requests = st.one_of(
    st.binary(min_size=1, max_size=200).map(lambda data: data + b"\r\n\r\n"),
    values.map(lambda value: json.dumps(value, default=str).encode()).map(
        lambda body: (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )
    ),
    st.just(b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n"),
    st.integers(2**22, 2**62).map(
        lambda size: (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: " + str(size).encode() + b"\r\n\r\n"
        )
    ),
)


@then("any bad requests on several connections are answered with 4xx or closed")
def check_requests(context):
    address = context.running.process("entry-0").address

    def check(cases):
        peers = [RawPeer(address) for _ in cases]
        for peer, data in zip(peers, cases, strict=True):
            peer.send(data)
            peer.finish()
        for peer, data in zip(peers, cases, strict=True):
            try:
                answer = peer.socket.recv(READ_BYTES)
            except ConnectionError:
                answer = b""
            assert answer == b"" or answer.startswith(b"HTTP/1.1 4"), (data, answer)
            peer.close()

    check_examples(EXAMPLES, bad_requests, check)
    names = [one["name"] for one in read_events(context.running.process("entry-0").log)]
    assert "task-failed" not in names, names
