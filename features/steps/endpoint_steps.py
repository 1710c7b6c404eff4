"""Steps for the endpoint process."""

import asyncio
import itertools
import json
import time
import zlib
from datetime import UTC, datetime, timedelta

from behave import given, step, then, when
from hypothesis import Phase
from hypothesis import given as for_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from features.endpoint.rig import KEY, MODEL, Rig, SteppedClock
from zinniaramp.answers import EventReader
from zinniaramp.answers.retention import AnswerStore, Piece
from zinniaramp.contracts import (
    Cancel,
    Cancelled,
    Chunk,
    Credit,
    End,
    Head,
    Leaving,
    Offer,
    Outcome,
    Ping,
    Pong,
    Refused,
    Resume,
    RevisionId,
    SectionsRequest,
    TicketIssued,
    TicketRequest,
)
from zinniaramp.endpoint.streams import MOVED_DETAIL
from zinniaramp.hosts import Host, HostState
from zinniaramp.standins import expected_text
from zinniaramp.standins.service import expected_reply
from zinniaramp.standins.serving import Faults
from zinniaramp.tickets import Ticket, sign_ticket

PAUSE_SECONDS = 1.2
HISTORIES = 80
OPERATIONS = ["offer", "record", "cancel", "resume", "disconnect", "wait"]
INCONCLUSIVE_REASONS = {"attempt-unknown", "answer-discarded"}
ANSWER_MEMORY = 1000
CANCEL_SECONDS = 1
SHORT_SILENCE_SECONDS = 0.1
"""Silence timeout of the process whose clock the test advances."""

CLOCK_STEP = timedelta(seconds=0.15)
"""Advance of the test's clock between two heartbeats.

It is shorter than the 0.2 s after which a silent stream is closed, and four steps are
longer than the 0.5 s after which an attempt without a stream is cancelled.
"""

STEPS_PER_WAIT = 2
"""Steps of the test's clock in one wait of a random sequence."""


def start_rig(context, **options):
    """Start an endpoint process with the stand-in engine."""
    context.rig = Rig(**options)
    context.add_cleanup(context.rig.close)
    context.rig.serve_engine()
    context.rig.start()


def start_unresponsive_rig(context, *, closes_connection):
    """Start an endpoint process for an engine that sends no response.

    No engine is started at all if `closes_connection` is None.
    """
    context.rig = Rig()
    context.add_cleanup(context.rig.close)
    if closes_connection is not None:
        context.rig.serve_unresponsive(closes_connection=closes_connection)
    context.rig.start()


@given("an endpoint process with {width:d} slot")
@given("an endpoint process with {width:d} slots")
def start_endpoint(context, width):
    start_rig(context, width=width)


@given("an endpoint process with 1 slot that retains answers for {seconds:d} seconds")
def start_with_retention(context, seconds):
    start_rig(context, retention=seconds, silence=0.2)


@given("an endpoint process with 1 slot and a silence timeout of {seconds:g} seconds")
def start_with_silence(context, seconds):
    start_rig(context, silence=seconds)


@given("an endpoint process with 1 slot and a clock that the test advances")
def start_with_stepped_clock(context):
    start_rig(context, silence=SHORT_SILENCE_SECONDS, clock=SteppedClock())


@given("an endpoint process for an engine that never answers")
def start_for_silent_engine(context):
    start_unresponsive_rig(context, closes_connection=False)


@given("an endpoint process for an engine that closes connections")
def start_for_closing_engine(context):
    start_unresponsive_rig(context, closes_connection=True)


@given("an endpoint process for an engine that is down")
def start_for_stopped_engine(context):
    start_unresponsive_rig(context, closes_connection=None)


@given("an endpoint process for a plain service")
def start_for_service(context):
    start_rig(context, kind="service")


@when('attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered')
def offer(context, name, class_name, tokens):
    context.rig.offer(name, class_name, tokens)


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "and cancelled as its transfer ends"
)
def offer_and_cancel_at_end(context, name, class_name, tokens):
    rig = context.rig
    client = rig.process.executor.engine.attempts
    fetch = client.fetch

    def cancel_attempt(_):
        (connection,) = rig.process.streams.connections
        rig.process.streams.handle(connection, Cancel(attempt_id=name))

    def fetch_and_cancel(*arguments, **options):
        # Callbacks run in the order in which they are added: this one runs after
        # libcurl has finished and before the endpoint process handles the end.
        future = fetch(*arguments, **options)
        future.add_done_callback(cancel_attempt)
        return future

    client.fetch = fetch_and_cancel
    rig.offer(name, class_name, tokens)
    rig.wait_for(Cancelled, name)
    client.fetch = fetch


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "with credit {credit:d}"
)
def offer_with_credit(context, name, class_name, tokens, credit):
    context.rig.offer(name, class_name, tokens, credit=credit)


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "with the ticket"
)
def offer_with_ticket(context, name, class_name, tokens):
    context.rig.offer(name, class_name, tokens, ticket=context.ticket)


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "with the ticket on another stream"
)
def offer_on_another_stream(context, name, class_name, tokens):
    context.rig.open()
    context.rig.offer(name, class_name, tokens, ticket=context.ticket)


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "with the ticket and a deadline of {seconds:g} seconds"
)
def offer_with_deadline(context, name, class_name, tokens, seconds):
    rig = context.rig
    rig.offer(name, class_name, tokens, ticket=context.ticket, deadline_s=seconds)


@when(
    'attempt "{name}" of class "{class_name}" for {tokens:d} tokens is offered '
    "without a ticket and with a deadline of {seconds:g} seconds"
)
def offer_without_ticket(context, name, class_name, tokens, seconds):
    context.rig.offer(name, class_name, tokens, deadline_s=seconds)


@when('{count:d} attempts of class "{class_name}" for {tokens:d} tokens have ended')
def finish_attempts(context, count, class_name, tokens):
    for number in range(count):
        context.rig.offer(f"past-{number}", class_name, tokens)
        context.rig.wait_for(End, f"past-{number}")
    context.rig.controls.log.clear()


@when("a ticket is fetched")
def request_record_ticket(context):
    request_ticket(context, "record")


@when('a ticket for class "{class_name}" is fetched')
def request_ticket(context, class_name):
    context.ticket = issue_ticket(context.rig, class_name)


def issue_ticket(rig, class_name):
    """Request a ticket and return its signed text."""
    messages = rig.callers[-1].messages
    before = len([message for message in messages if isinstance(message, TicketIssued)])
    rig.send(TicketRequest(request_id="r", class_name=class_name, workspace=""))

    def issued():
        return [message for message in messages if isinstance(message, TicketIssued)][
            before:
        ]

    rig.wait_until(issued, "ticket")
    return issued()[0].ticket


@when("a ticket of another incarnation is created")
def make_foreign_ticket(context):
    expires = datetime.now(UTC) + timedelta(minutes=5)
    ticket = Ticket(
        serial="0~x",
        incarnation="host-1/before",
        class_name="record",
        workspace="",
        expires=expires.isoformat(),
    )
    context.ticket = sign_ticket(ticket, key=KEY)


@when("the endpoint process has dropped the record of the ticket")
def drop_record(context):
    tickets = context.rig.process.tickets
    tickets.clock = lambda: datetime.now(UTC) + timedelta(days=30)
    issue_ticket(context.rig, "record")
    assert len(tickets.records) == 1, tickets.records


@given("its tombstone table has no capacity")
def remove_tombstone_capacity(context):
    context.rig.process.tickets.tombstones.capacity = 0


@when('the answer of "{name}" is {state}')
def discard_answer(context, name, state):
    rig = context.rig
    answers = rig.process.answers
    rig.wait_for(End, name)
    if state == "discarded":
        answers.memory_limit = 0
        answers.enforce_memory_limit()
    else:
        answers.retention = timedelta(0)
        rig.wait_until(lambda: name not in rig.process.executor.attempts, state)


@when('attempt "{name}" is cancelled')
def cancel(context, name):
    context.rig.send(Cancel(attempt_id=name))


@when('{count:d} chunks of "{name}" have arrived')
def wait_for_chunks(context, count, name):
    rig = context.rig
    rig.wait_until(lambda: len(rig.received(Chunk, name)) >= count, "chunks")


@when("the stream disconnects")
def close_stream(context):
    rig = context.rig
    connection = rig.callers[-1].connection
    connection.stream.close()
    rig.wait_until(lambda: not rig.process.streams.connections, "stream closed")


@when("a stream is opened")
def open_stream(context):
    context.rig.open()


@when("the stream disconnects and another is opened")
def replace_stream(context):
    close_stream(context)
    open_stream(context)


@when('"{name}" is resumed from the next chunk')
def resume(context, name):
    next_sequence = len(context.rig.payloads(name))
    context.rig.send(Resume(attempt_id=name, from_sequence=next_sequence, credit=1000))


@when('"{name}" receives credit')
def grant_credit(context, name):
    context.rig.send(Credit(attempt_id=name, limit=1000))


@when("the engine stops responding")
def stop_responses(context):
    context.rig.controls.apply(Faults(silent=True))


@when("the endpoint process drains")
def drain(context):
    async def begin():
        return asyncio.ensure_future(context.rig.process.drain())

    context.drain = context.rig.run(begin())


@when('another entry process resumes "{name}" from chunk {start:d}')
def resume_from_other_entry(context, name, start):
    context.rig.open("entry-2/start")
    context.rig.send(Resume(attempt_id=name, from_sequence=start, credit=1000))
    context.rig.sync()


@then('the first entry process is notified that another one has resumed "{name}"')
def check_resumed_elsewhere(context, name):
    ended = context.rig.wait_for(End, name)
    assert ended.detail == MOVED_DETAIL, ended
    assert ended in context.rig.callers[0].messages
    context.rig.callers[0].messages.remove(ended)


@when('the first entry process cancels "{name}"')
def cancel_from_first_entry(context, name):
    first = context.rig.callers[0].connection
    context.rig.loop.call_soon(first.send, Cancel(attempt_id=name))


@then('each chunk of "{name}" is one event')
def check_one_event_per_chunk(context, name):
    payloads = context.rig.payloads(name).values()
    assert payloads and all(b"\n" not in payload for payload in payloads), payloads


@when("the host list marks the host as leaving")
def mark_host_leaving(context):
    host = Host(
        name="host-1",
        data_centre="dc",
        role="endpoint",
        address="",
        state=HostState.LEAVING,
    )

    async def replace():
        context.rig.hosts.replace({"host-1": host})

    context.rig.run(replace())


@when("the endpoint process is paused and continues")
def pause(context):
    async def block():
        time.sleep(PAUSE_SECONDS)

    context.rig.run(block())


@when("only a second stream sends heartbeats")
def send_heartbeats(context):
    context.rig.callers[0].pinging.cancel()
    context.rig.open()


@when("a heartbeat announces revision {index:d}")
def announce_revision(context, index):
    revision = RevisionId(index=index, digest="0" * 64)
    context.rig.send(Ping(number=1, revision=revision))


@then("the endpoint process requests the sections of the revision")
def check_sections_request(context):
    messages = context.rig.callers[-1].messages

    def is_requested():
        return any(isinstance(message, SectionsRequest) for message in messages)

    context.rig.wait_until(is_requested, "sections request")


@when('a plain call "{name}" is offered')
def offer_plain(context, name):
    context.rig.send(
        Offer(
            attempt_id=name,
            target=MODEL,
            class_name="question",
            workspace="",
            revision_index=1,
            deadline_s=30,
            ticket="",
            method="PUT",
            path="/ledger?reel=4",
            headers=[["X-Mark", name]],
            body=b"released",
            credit=1000,
        )
    )


@then('"{name}" is confirmed as not run')
def check_not_run(context, name):
    assert context.rig.wait_for(Cancelled, name).ran is False


@then('"{name}" is confirmed as run')
def check_run(context, name):
    assert context.rig.wait_for(Cancelled, name).ran is True


@then('"{name}" is refused as "{reason}"')
def check_refused(context, name, reason):
    assert context.rig.wait_for(Refused, name).reason == reason


@then('"{name}" ends as "{outcome}"')
def check_outcome(context, name, outcome):
    ended = context.rig.wait_for(End, name)
    assert ended.outcome == outcome, ended


@then('"{name}" has a retry delay above 0 s')
def check_retry_after(context, name):
    assert context.rig.wait_for(End, name).retry_after_s > 0


def check_complete(rig, name, body):
    """Check the outcome, count, checksum and text of an answer."""
    ended = rig.wait_for(End, name)
    payloads = rig.payloads(name)
    assert ended.outcome == "done", ended
    assert sorted(payloads) == list(range(ended.count)), sorted(payloads)
    whole = [payloads[sequence] for sequence in sorted(payloads)]
    assert zlib.crc32(b"".join(whole)) == ended.checksum
    events = [json.loads(line) for line in b"\n".join(whole).split(b"\n")]
    deltas = [event["choices"][0]["delta"] for event in events]
    assert "".join(d.get("content", "") for d in deltas) == expected_text(body)


@then('"{name}" returns its complete text')
def check_text(context, name):
    check_complete(context.rig, name, context.rig.offers[name])


@then('"{name}" returns the complete text of "{other}"')
def check_text_of_other(context, name, other):
    check_complete(context.rig, name, context.rig.offers[other])


@then('"{name}" returns the service\'s reply')
def check_reply(context, name):
    assert context.rig.wait_for(End, name).outcome == "done"
    head = context.rig.wait_for(Head, name)
    body = json.loads(b"".join(context.rig.payloads(name).values()))
    expected = expected_reply("PUT", "/ledger?reel=4", b"released")
    assert head.status == 200, head
    assert ["Content-Type", "application/json"] in head.headers, head
    assert body["body_sha256"] == expected.body_sha256, body
    assert (body["method"], body["path"]) == ("PUT", expected.path), body


@step('the engine has run only "{names}"')
def check_marks(context, names):
    assert context.rig.marks() == names.split(), context.rig.marks()


@then("the engine has run nothing")
def check_no_marks(context):
    assert context.rig.marks() == [], context.rig.marks()


@then('the engine has cancelled "{name}"')
def check_cancelled(context, name):
    execution = context.rig.execution(name)
    context.rig.wait_until(lambda: execution.cancelled, "cancelled at the engine")


@then('the engine has finished "{name}"')
def check_finished(context, name):
    execution = context.rig.execution(name)
    context.rig.wait_until(lambda: execution.finished, "finished at the engine")
    assert not execution.cancelled


@step("the engine has been sent {count:d} request")
def check_requests(context, count):
    engine = context.rig.unresponsive_engine
    context.rig.wait_until(lambda: engine.requests >= count, "request")
    assert engine.requests == count, engine.requests


@then("the connection to the engine is closed within a second")
def check_connection_closed(context):
    context.rig.wait_until(
        lambda: context.rig.unresponsive_engine.closed,
        "transfer closed",
        seconds=CANCEL_SECONDS,
    )


@then('{count:d} chunk of "{name}" has arrived in total')
def check_chunk_count(context, count, name):
    assert len(context.rig.received(Chunk, name)) == count


@then('the endpoint process has removed "{name}"')
def check_removed(context, name):
    attempts = context.rig.process.executor.attempts
    context.rig.wait_until(lambda: name not in attempts, "attempt removed")


@then('the endpoint process has ended "{name}" as "{outcome}"')
def check_ended(context, name, outcome):
    def is_ended():
        attempt = context.rig.process.executor.attempts[name]
        return attempt.has_ended() and attempt.answer.ending.outcome == outcome

    context.rig.wait_until(is_ended, outcome)


@then('the log has the event "{name}"')
def check_event(context, name):
    names = [line[0].strip() for line in context.rig.events]
    assert name in names, names


@then('the log has the decisions "{decisions}"')
def check_decisions(context, decisions):
    found = [
        values["decision"]
        for name, values in context.rig.events
        if name.strip() == "attempt-scheduled"
    ]
    assert found == decisions.split(), found


@then("the stream reports that the endpoint is leaving")
def check_leaving(context):
    messages = context.rig.callers[-1].messages

    def is_announced():
        return any(isinstance(message, Leaving) for message in messages)

    context.rig.wait_until(is_announced, "leaving")


@then("the drain ends with no unfinished attempt")
def check_drain(context):
    async def end():
        return await context.drain

    assert context.rig.run(end()) == 0


@then("the stream is closed")
def check_stream_closed(context):
    connection = context.rig.callers[0].connection
    context.rig.wait_until(lambda: connection.is_closed, "stream closed")


@then("the second stream has received a heartbeat reply")
def check_answered(context):
    caller = context.rig.callers[-1]
    assert any(isinstance(message, Pong) for message in caller.messages)
    assert not caller.connection.is_closed


def play(rig, number, operations):
    """Run one sequence of operations; return the names of its attempts."""
    names = [f"{number}-{slot}" for slot in range(3)]
    rig.open()
    ticket = issue_ticket(rig, "record")
    for operation, slot in operations:
        name = names[slot]
        match operation:
            case "offer" if name not in rig.offers:
                rig.offer(name, "question", 2)
            case "record" if name not in rig.offers:
                rig.offer(name, "record", 2, ticket=ticket)
            case "cancel":
                rig.send(Cancel(attempt_id=name))
            case "resume":
                rig.send(Resume(attempt_id=name, from_sequence=0, credit=1000))
            case "disconnect":
                rig.callers[-1].connection.stream.close()
                rig.open()
            case "wait":
                advance_clock(rig)
    rig.sync()
    rig.wait_until(lambda: not rig.process.executor.live(), "all ended")
    rig.sync()
    return names


def advance_clock(rig):
    """Advance the test's clock, with a heartbeat after each step."""
    for _ in range(STEPS_PER_WAIT):
        rig.clock.advance(CLOCK_STEP)
        rig.sync()


def is_said_not_run(rig, name):
    """Return whether any message reports that an attempt never ran."""
    refused = [
        message
        for message in rig.received(Refused, name)
        if message.reason not in INCONCLUSIVE_REASONS
    ]
    cancelled = [
        message for message in rig.received(Cancelled, name) if not message.ran
    ]
    ended = [
        message for message in rig.received(End, name) if message.outcome == "not-run"
    ]
    return bool(refused or cancelled or ended)


@when("random sequences of offers, cancels, disconnects and resumes are run")
def generate_sequences(context):
    rig, played = context.rig, itertools.count()
    operation = st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 2))

    @hypothesis_settings(max_examples=HISTORIES, phases=[Phase.generate])
    @for_any(st.lists(operation, min_size=8, max_size=16))
    def check(operations):
        names = play(rig, next(played), operations)
        marks = rig.marks()
        ran = [name for name in names if name in marks]
        records = [name for name in ran if name in rig.ticketed]
        assert len(marks) == len(set(marks)), marks
        assert len(records) <= 1, records
        assert not [name for name in ran if is_said_not_run(rig, name)]

    context.check = check


@then("every attempt's outcome matches what the engine ran")
def run_sequences(context):
    context.check()


@given("random answers of random sizes")
def any_answers(context):
    cases = st.tuples(st.integers(0, 5), st.integers(1, 400), st.booleans())
    context.cases = st.lists(cases, max_size=40)


@when("they are retained in sequence")
def retain(context):
    @for_any(context.cases)
    def check(appends):
        now = datetime(2030, 1, 1, tzinfo=UTC)
        retention = timedelta(seconds=10)
        store = AnswerStore(
            memory_limit=ANSWER_MEMORY, retention=retention, clock=lambda: now
        )
        answers = {}
        for number, (slot, size, is_last) in enumerate(appends):
            if slot not in answers:
                answers[slot] = store.open(str(number))
            nonempty = {
                name for name, answer in store.unfinished.items() if answer.size
            }
            store.append(answers[slot], Piece(payload=b"x" * size, tokens=1))
            held = [*store.unfinished.values(), *store.finished.values()]
            assert store.size == sum(answer.size for answer in held) <= ANSWER_MEMORY
            has_discarded = any(
                store.unfinished[name].is_discarded for name in nonempty
            )
            assert not (
                has_discarded and any(answer.size for answer in store.finished.values())
            )
            if is_last:
                store.finish(answers.pop(slot), Outcome.DONE, "")
        now += retention
        store.remove_expired()
        assert not store.finished

    context.check = check


@then("memory and retention are bounded and unfinished answers are discarded last")
def run_retention_check(context):
    context.check()


@when("two answers are parsed alternately, one byte at a time")
def read_alternately(context):
    texts = ["reparación €", "修復の記録 é"]
    readers = [EventReader(), EventReader()]
    context.expected = texts
    context.read = ["", ""]
    streams = [f"data: {text}\n\n".encode() for text in texts]
    for position in range(max(map(len, streams))):
        for index, stream in enumerate(streams):
            data = stream[position : position + 1]
            context.read[index] += "".join(readers[index].read(data).unwrap())


@then("each event equals the one that was sent")
def check_decoded(context):
    assert context.read == context.expected, context.read
