"""Steps for the entry process."""

import asyncio
import http.client
import io
import json
import socket
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass
from datetime import timedelta

from behave import given, then, when

from features.entry.fake_endpoint import (
    KEY,
    LONG_ANSWER_CHUNKS,
    LONG_CHUNK_BYTES,
    FakeEndpoint,
    make_payloads,
)
from zinniaramp.clock import monotonic_clock
from zinniaramp.configuration import RevisionStore
from zinniaramp.contracts import Cancel, Offer, RevisionId, TicketRequest
from zinniaramp.declarations import read_declarations
from zinniaramp.entry import EntryProcess
from zinniaramp.hosts import HostView
from zinniaramp.links import Identity
from zinniaramp.observability import configure_logging
from zinniaramp.settings import read_settings
from zinniaramp.standins.fleet import free_port

WAIT_SECONDS = 10
SMALL_BUFFER_BYTES = 4096
POLL_SECONDS = 0.02
DECLARATIONS = """
[defaults]
class_name = question
workspace = large
body_limit = 20000
[class question]
tier = 1
[class quick]
tier = 1
first_token = 0.2
between_tokens = 0.1
finish = 0.3
[class ledger]
tier = 2
repeatable = false
[class intake]
tier = 2
repeatable = false
ticket = optional
[class summary]
tier = 3
[workspace large]
[workspace small]
classes = question
[model m]
[service ledger-book]
class_name = question
"""


@dataclass(slots=True, kw_only=True)
class Reply:
    """An HTTP response received by a caller."""

    status: int
    headers: dict
    text: str

    def json(self):
        """Return the body parsed as JSON."""
        return json.loads(self.text)


@dataclass(slots=True, kw_only=True)
class Entry:
    """A running entry process and the ports of its listeners."""

    callers: int
    operator: int
    process: subprocess.Popen


def settings_text(context, name, callers, operator):
    """Return the settings file of an entry with the scenario's endpoints."""
    addresses = " ".join(fake.address for fake in context.fakes.values())
    declarations = context.directory / "declarations.ini"
    declarations.write_text(DECLARATIONS)
    return (
        f"[process]\nrole = entry\nname = {name}\ndata_centre = dc-1\n"
        f"[listen]\noperator = 127.0.0.1:{operator}\ncallers = 127.0.0.1:{callers}\n"
        f"[fleet]\nkey = {KEY}\nheartbeat = 0.05\nsilence = 0.4\n"
        f"[platform]\nendpoints = {addresses}\ndeclarations = {declarations}\n"
    )


def start_entry(context, name):
    """Start an entry process and wait until all its streams are open."""
    callers, operator = free_port(), free_port()
    path = context.directory / f"{name}.ini"
    path.write_text(settings_text(context, name, callers, operator))
    with (context.directory / f"{name}.log").open("w") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "zinniaramp.daemon", str(path)], stderr=log
        )
    context.add_cleanup(kill_entry, process)
    wait_for_streams(context, name, process)
    return Entry(callers=callers, operator=operator, process=process)


def kill_entry(process):
    process.kill()
    process.wait(WAIT_SECONDS)


def wait_for_streams(context, name, process):
    """Wait until an entry's log has an event for each opened stream."""
    count = len(context.fakes)
    log = context.directory / f"{name}.log"
    limit = time.monotonic() + WAIT_SECONDS
    while log.read_text().count('"stream-opened"') < count:
        is_running = process.poll() is None and time.monotonic() < limit
        assert is_running, log.read_text()[-2000:]
        time.sleep(POLL_SECONDS)


def get_entry(context):
    """Return the scenario's first entry; start it with the current endpoints."""
    if context.entries == []:
        context.entries.append(start_entry(context, "entry-0"))
    return context.entries[0]


def add_fake(context, name, behaviour):
    fake = FakeEndpoint(name=name, behaviour=behaviour)
    context.add_cleanup(fake.stop)
    context.fakes[name] = fake


def chat_body(**fields):
    body = {"model": "m", "messages": [{"role": "user", "content": "why?"}]}
    return {**body, **fields}


def send(context, body, headers=None, path="/v1/chat/completions"):
    """Send a request to the first entry and return the reply."""
    port = get_entry(context).callers
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_SECONDS)
    data = body if isinstance(body, str) else json.dumps(body)
    connection.request("POST", path, data, headers or {})
    response = connection.getresponse()
    text = response.read().decode()
    connection.close()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(status=response.status, headers=headers, text=text)


def event_data(text):
    """Return the data of each server-sent event in an answer."""
    lines = text.split("\n")
    return [one.removeprefix("data: ") for one in lines if one.startswith("data: ")]


def text_and_outcome(reply):
    """Return the text and the outcome of a streamed or non-streamed answer."""
    assert reply.status == 200, reply
    if "event-stream" not in reply.headers["content-type"]:
        message = reply.json()["choices"][0]["message"]
        return message["content"], reply.headers["zinniaramp-outcome"]
    data = event_data(reply.text)
    assert data[-1] == "[DONE]", data
    events = [json.loads(one) for one in data[:-1]]
    deltas = [one["choices"][0]["delta"] for one in events]
    text = "".join(delta.get("content", "") for delta in deltas)
    return text, events[-1]["zinniaramp"]["outcome"]


@given('an entry with endpoint "{name}" that {behaviour}')
def given_entry(context, name, behaviour):
    context.fakes = {}
    context.entries = []
    configure_logging(sink=io.StringIO())
    add_fake(context, name, behaviour)


@given('endpoint "{name}" that {behaviour}')
def given_endpoint(context, name, behaviour):
    add_fake(context, name, behaviour)


@given('endpoint "{name}" replies to a cancel with {kind}')
def given_cancel_reply(context, name, kind):
    answers = {"not run": False, "ran": True, "nothing": None}
    context.fakes[name].cancel_reply_ran = answers[kind]


@given('endpoint "{name}" refuses with reason "{reason}"')
def given_refusal_reason(context, name, reason):
    context.fakes[name].refusal_reason = reason


@given("a second entry")
def given_second_entry(context):
    get_entry(context)
    context.entries.append(start_entry(context, "entry-1"))


@given('the caller has a ticket from an earlier incarnation of endpoint "{name}"')
def given_earlier_ticket(context, name):
    fake = context.fakes[name]
    present, fake.incarnation = fake.incarnation, f"{name}/earlier"
    request = TicketRequest(request_id="r", class_name="ledger", workspace="large")
    context.ticket = fake.issue(request)
    fake.incarnation = present
    context.request = chat_body()


INVALID_REQUESTS = {
    "a body that is not JSON": lambda context: send(context, "{"),
    "a body without a model": lambda context: send(context, {"messages": [{}]}),
    "a body with no messages": lambda context: send(context, chat_body(messages=[])),
    "a body with max_tokens as text": lambda context: send(
        context, chat_body(max_tokens="4")
    ),
    'a chat request of class "nothing"': lambda context: send(
        context, chat_body(), {"Zinniaramp-Class": "nothing"}
    ),
    'a chat request of workspace "nobody"': lambda context: send(
        context, chat_body(), {"Zinniaramp-Workspace": "nobody"}
    ),
    "a chat request of a class that its workspace may not use": lambda context: send(
        context,
        chat_body(),
        {"Zinniaramp-Class": "summary", "Zinniaramp-Workspace": "small"},
    ),
    'a chat request for model "other"': lambda context: send(
        context, chat_body(model="other")
    ),
    "a body that is too large": lambda context: send(context, chat_body(x="x" * 20000)),
    "a chat request with 70 headers": lambda context: send(
        context, chat_body(), {f"X-Header-{number}": "x" for number in range(70)}
    ),
    "a call to an unknown service": lambda context: send(
        context, "", path="/services/other/path"
    ),
}


def register_invalid_request(request):
    @when(f"a caller sends {request}")
    def send_invalid(context):
        context.reply = INVALID_REQUESTS[request](context)


for invalid_request in INVALID_REQUESTS:
    register_invalid_request(invalid_request)


@when("a caller sends a streamed chat request")
def send_streamed(context):
    context.reply = send(context, chat_body(stream=True))


@when("a caller sends a non-streamed chat request")
def send_whole(context):
    context.reply = send(context, chat_body())


@when('a caller sends a non-streamed chat request of class "{name}"')
def send_whole_of_class(context, name):
    context.reply = send(context, chat_body(), {"Zinniaramp-Class": name})


@when('a caller sends key "{key}" with a non-streamed chat request of class "{name}"')
def send_whole_with_key(context, name, key):
    context.request = chat_body()
    headers = {"Zinniaramp-Class": name, "Idempotency-Key": key}
    context.reply = send(context, context.request, headers)
    context.ticket = context.reply.headers["zinniaramp-ticket"]


@when('a caller sends key "" with a non-streamed chat request of class "{name}"')
def send_whole_without_key(context, name):
    context.request = chat_body()
    context.reply = send(context, context.request, {"Zinniaramp-Class": name})
    context.ticket = context.reply.headers["zinniaramp-ticket"]


@when("the caller sends the request with its ticket")
def send_with_ticket(context):
    send_with_ticket_in(context, "ledger")


@when('the caller sends the request with its ticket in class "{name}"')
def send_with_ticket_in(context, name):
    headers = {"Zinniaramp-Class": name, "Idempotency-Key": context.ticket}
    context.reply = send(context, context.request, headers)


@when('a caller requests a ticket for class "{name}"')
def request_ticket(context, name):
    context.request = chat_body()
    body = {"target": "m", "class": name}
    context.ticket = send(context, body, path="/v1/tickets").json()["ticket"]


@when('a caller calls service "{name}" at "{path}" with body "{body}"')
def call_service(context, name, path, body):
    context.reply = send(context, body, path=f"/services/{name}{path}")


@then('endpoint "{name}" was offered "{method}" "{path}" with body "{body}"')
def check_offer(context, name, method, path, body):
    offer = context.fakes[name].messages(Offer)[0]
    assert (offer.method, offer.path, offer.body) == (method, path, body.encode())


@then("the entry's metrics have these values")
def check_metrics(context):
    url = f"http://127.0.0.1:{context.entries[0].operator}/metrics"
    with urllib.request.urlopen(url, timeout=WAIT_SECONDS) as response:
        lines = response.read().decode().split("\n")
    for row in context.table:
        assert f"{row['metric']} {row['value']}" in lines, row["metric"]


@when("{count:d} callers send non-streamed chat requests with different prompts")
def send_many(context, count):
    context.replies = []
    for number in range(count):
        messages = [{"role": "user", "content": f"question {number}"}]
        context.replies.append(send(context, chat_body(messages=messages)))


@when('endpoint "{name}" announces that it is leaving')
def endpoint_leaves(context, name):
    get_entry(context)
    fake = context.fakes[name]
    fake.call(fake.leave)
    wait_for_leaving(context)


@when('endpoint "{name}" closes its streams and announces that it is leaving')
def endpoint_leaves_without_streams(context, name):
    get_entry(context)
    fake = context.fakes[name]
    fake.call(fake.close_streams)
    fake.call(fake.leave)
    wait_for_leaving(context)


def wait_for_leaving(context):
    """Wait until the entry's log has the event of a leaving endpoint."""
    log = context.directory / "entry-0.log"
    limit = time.monotonic() + WAIT_SECONDS
    while '"peer-leaving"' not in log.read_text():
        assert time.monotonic() < limit, log.read_text()[-2000:]
        time.sleep(POLL_SECONDS)


def open_stream(context):
    """Start a streamed chat and return its response after the first event."""
    url = f"http://127.0.0.1:{get_entry(context).callers}/v1/chat/completions"
    data = json.dumps(chat_body(stream=True)).encode()
    response = urllib.request.urlopen(url, data, timeout=WAIT_SECONDS)
    while not response.readline().startswith(b"data: "):
        pass
    return response


@when("a caller starts a streamed chat request and stops reading")
def start_and_stop_reading(context):
    context.stalled = open_stream(context)
    context.fakes["a"].wait_until_idle()


@when("another caller sends a streamed chat request")
def send_another(context):
    send_streamed(context)


@then('endpoint "{name}" receives no credit for the rest of the long answer')
def check_stalled(context, name):
    fake = context.fakes[name]
    fake.wait_until_idle()
    assert fake.long_answer.sent < LONG_ANSWER_CHUNKS, fake.long_answer.sent


@then("the long answer is complete after its caller reads it")
def check_long_answer(context):
    rest = context.stalled.read()
    assert rest.endswith(b"data: [DONE]\n\n"), rest[-200:]
    assert rest.count(b"x" * LONG_CHUNK_BYTES) == LONG_ANSWER_CHUNKS - 1


@when("a caller starts a streamed chat request and disconnects")
def start_and_disconnect(context):
    open_stream(context).close()


@when("a caller resumes its streamed answer at the second entry from chunk {start:d}")
def resume_at_second_entry(context, start):
    response = open_stream(context)
    request_id = response.headers["Zinniaramp-Request-Id"]
    context.entries[0].process.kill()
    port = context.entries[1].callers
    url = f"http://127.0.0.1:{port}/v1/requests/{request_id}?from={start}"
    with urllib.request.urlopen(url, timeout=WAIT_SECONDS) as rest:
        context.reply = Reply(
            status=rest.status,
            headers={"content-type": rest.headers["Content-Type"]},
            text=rest.read().decode(),
        )
    response.close()


@then('the answer has status {status:d} and code "{code}"')
def check_error(context, status, code):
    assert context.reply.status == status, context.reply
    error = context.reply.json()["error"]
    assert error["code"] == code, error
    assert error["message"] and error["type"], error


@then('endpoint "{name}" was offered {count:d} attempts')
def check_offers(context, name, count):
    assert len(context.fakes[name].messages(Offer)) == count


@then('endpoint "{name}" was offered at least {count:d} attempt')
def check_offers_at_least(context, name, count):
    assert len(context.fakes[name].messages(Offer)) >= count


@then("the endpoints were offered {count:d} attempts in total")
def check_all_offers(context, count):
    offers = [len(fake.messages(Offer)) for fake in context.fakes.values()]
    assert sum(offers) == count, offers


@then('the answer\'s text is "{text}" and its outcome is "{outcome}"')
def check_answer(context, text, outcome):
    assert text_and_outcome(context.reply) == (text, outcome), context.reply


@then('every answer\'s text is "{text}" and its outcome is "{outcome}"')
def check_answers(context, text, outcome):
    for reply in context.replies:
        assert text_and_outcome(reply) == (text, outcome), reply


@then('the stream ends with an error of outcome "{outcome}" and without "[DONE]"')
def check_incomplete_stream(context, outcome):
    data = event_data(context.reply.text)
    assert "[DONE]" not in data, data
    assert json.loads(data[-1])["error"]["outcome"] == outcome, data[-1]


@then('endpoint "{name}" is sent a cancel')
def check_cancel(context, name):
    context.fakes[name].wait_for(Cancel)


@then('endpoint "{name}" is sent no cancel')
def check_no_cancel(context, name):
    fake = context.fakes[name]
    fake.wait_until_idle()
    assert not fake.messages(Cancel)


@then('its outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.reply.headers["zinniaramp-outcome"] == outcome, context.reply


@then(
    'its outcome is "{outcome}" and its caller may retry after {low:d} s to {high:d} s'
)
def check_retry_delay(context, outcome, low, high):
    check_outcome(context, outcome)
    assert low <= int(context.reply.headers["retry-after"]) <= high, context.reply


@then('its outcome is "{outcome}" and the answer contains no ticket')
def check_no_ticket(context, outcome):
    check_outcome(context, outcome)
    assert "zinniaramp-ticket" not in context.reply.headers, context.reply


@then('its outcome is "{outcome}" and the answer contains a ticket')
def check_ticket(context, outcome):
    check_outcome(context, outcome)
    assert context.reply.headers["zinniaramp-ticket"], context.reply


async def run_entry_in_process(context, clock=None):
    """Start an entry process on this event loop and wait until it is ready."""
    callers = free_port()
    path = context.directory / "here.ini"
    path.write_text(settings_text(context, "here", callers, callers))
    settings = read_settings(path).unwrap()
    revision = RevisionId(index=0, digest="")
    declared = read_declarations(DECLARATIONS, file="", revision=revision).unwrap()
    revisions = RevisionStore(initial=declared, clock=monotonic_clock())
    identity = Identity(
        incarnation="here/1", role="entry", key=KEY, revision=revisions.revision
    )
    process = EntryProcess(
        settings=settings,
        identity=identity,
        revisions=revisions,
        hosts=HostView(),
        clock=clock or monotonic_clock(),
    )
    process.start()
    while not process.is_ready():
        await asyncio.sleep(POLL_SECONDS)
    context.entries = [Entry(callers=callers, operator=0, process=None)]
    return process


async def is_listening(port):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    writer.close()
    return True


async def drain_with_answer_in_progress(context):
    """Drain an entry while an answer is in progress; store the observations."""
    process = await run_entry_in_process(context)
    fake = context.fakes["a"]
    response = await asyncio.to_thread(open_stream, context)
    drain = asyncio.create_task(process.drain())
    while await is_listening(context.entries[0].callers):
        await asyncio.sleep(POLL_SECONDS)
    context.is_ready = process.is_ready()
    context.was_drained_early = drain.done()
    attempt_id = fake.messages(Offer)[0].attempt_id
    fake.call(fake.send_chunks, fake.connections[0], attempt_id, 1)
    fake.call(fake.send_end, fake.connections[0], attempt_id)
    context.rest = (await asyncio.to_thread(response.read)).decode()
    await asyncio.wait_for(drain, WAIT_SECONDS)


@given('an entry in the test process with endpoint "{name}" that {behaviour}')
def given_entry_in_process(context, name, behaviour):
    given_entry(context, name, behaviour)


async def pause_and_resume(context, seconds):
    """Advance an entry's clock like a pause; store the usable peers around it."""
    real_clock = monotonic_clock()
    paused = timedelta(0)
    process = await run_entry_in_process(context, lambda: real_clock() + paused)
    context.usable_before = process.peers.usable("m")
    paused = timedelta(seconds=seconds)
    context.usable_after = process.peers.usable("m")
    while not process.peers.usable("m"):
        await asyncio.sleep(POLL_SECONDS)
    context.streams = len(context.fakes["a"].connections)
    process.peers.stop()


@when("its clock shows a pause of {seconds:d} s")
def pause_entry(context, seconds):
    asyncio.run(pause_and_resume(context, seconds))


@then("it has no usable endpoint until it has opened a new stream")
def check_paused(context):
    assert context.usable_before
    assert not context.usable_after
    assert context.streams == 2, context.streams


@when("it drains while a caller's answer is in progress")
def drain_entry(context):
    asyncio.run(drain_with_answer_in_progress(context))


@then("it is not ready, and the drain ends only after the answer is complete")
def check_drained(context):
    assert not context.is_ready
    assert not context.was_drained_early
    assert event_data(context.rest)[-1] == "[DONE]", context.rest


def send_without_reading(port):
    """Send a request on a socket with a small receive buffer; return the socket."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.connect(("127.0.0.1", port))
    caller.settimeout(WAIT_SECONDS)
    body = json.dumps({"model": "m", "messages": [{"role": "user", "content": "q"}]})
    caller.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body.encode())
    )
    return caller


async def drain_unread(context, size):
    """Drain an entry that has finished an answer which its caller has not read."""
    process = await run_entry_in_process(context)
    context.words = ["x" * LONG_CHUNK_BYTES] * (size // LONG_CHUNK_BYTES)
    context.fakes["a"].payloads = make_payloads(context.words)
    caller = send_without_reading(context.entries[0].callers)
    while not (context.fakes["a"].messages(Offer) and not process.request_tasks):
        await asyncio.sleep(POLL_SECONDS)
    drain = asyncio.create_task(process.drain())
    while await is_listening(context.entries[0].callers):
        await asyncio.sleep(POLL_SECONDS)
    response = http.client.HTTPResponse(caller)
    await asyncio.to_thread(response.begin)
    context.rest = await asyncio.to_thread(response.read)
    context.unfinished_count = await asyncio.wait_for(drain, WAIT_SECONDS)


@when("it drains while a caller has an unread answer of {size:d} MB")
def drain_before_reading(context, size):
    asyncio.run(drain_unread(context, size * 1024 * 1024))


@then("the drain ends only after that caller has read the complete answer")
def check_drained_unread(context):
    message = json.loads(context.rest)["choices"][0]["message"]
    assert message["content"] == "".join(context.words)
    assert context.unfinished_count == 0
