"""Steps that run the engine stand-in as a process."""

import http.client
import json
import threading
import urllib.request

from behave import given, then, when

from features.standins.support import (
    WAIT_SECONDS,
    call,
    post_json,
    start_role,
    wait_until,
)
from zinniaramp.standins import expected_text
from zinniaramp.standins.fleet import MODEL


class Caller:
    """Sends a chat request and receives the streamed answer in its own thread."""

    def __init__(self, *, url, body):
        self.url = url
        self.body = body
        self.events = []
        self.is_ended = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        """Collect the data of the answer's events."""
        request = urllib.request.Request(
            f"{self.url}/v1/chat/completions", data=json.dumps(self.body).encode()
        )
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as response:
            for line in response:
                if line.startswith(b"data: "):
                    self.events.append(line.removeprefix(b"data: ").strip().decode())
        self.is_ended = True

    def is_complete(self):
        """Return whether the answer has ended and is the expected one."""
        chunks = [json.loads(event) for event in self.events if event != "[DONE]"]
        deltas = [chunk["choices"][0]["delta"] for chunk in chunks]
        text = "".join(delta.get("content", "") for delta in deltas)
        is_closed = bool(self.events) and self.events[-1] == "[DONE]"
        return self.is_ended and is_closed and text == expected_text(self.body)


def chat_body(name, count):
    """Return the body of a streamed request whose id, mark and prompt are `name`."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": name}],
        "stream": True,
        "request_id": name,
        "metadata": {"mark": name, "output_tokens": count},
    }


def log_entry(context, mark):
    """Return the stand-in's first log entry with a mark, or None."""
    entries = call(f"{context.url}/standin/log")[2]
    return next((entry for entry in entries if entry["mark"] == mark), None)


def order(context, name, verb):
    """Send an order (pause, resume or cancel) and return the status."""
    return post_json(f"{context.url}/v1/requests/{name}/{verb}", {})


@given("an engine stand-in of width {width:d}")
def start_engine(context, width):
    start_role(context, "engine", width=width)
    context.callers = {}


@when('request "{name}" streams {count:d} tokens')
def stream_request(context, name, count):
    caller = Caller(url=context.url, body=chat_body(name, count))
    context.callers[name] = caller


@when('the engine receives the order to {verb} "{name}" after its first token')
def order_request(context, verb, name):
    wait_until(lambda: context.callers[name].events)
    assert order(context, name, verb) == 200


@when('request "{name}" is resumed')
def resume_request(context, name):
    assert order(context, name, "resume") == 200


@then('request "{name}" completes while "{other}" has not ended')
def check_completes_first(context, name, other):
    wait_until(context.callers[name].is_complete)
    assert log_entry(context, other)["finished"] is None


@then('request "{name}" completes')
def check_complete(context, name):
    wait_until(context.callers[name].is_complete)


@then('request "{name}" ends without the [DONE] event')
def check_no_done_event(context, name):
    wait_until(lambda: context.callers[name].is_ended)
    assert "[DONE]" not in context.callers[name].events


@then('request "{name}" has not ended')
def check_not_ended(context, name):
    caller = context.callers[name]
    assert not caller.is_ended
    assert len(caller.events) < caller.body["metadata"]["output_tokens"]


@then('the log records "{name}" with {count:d} tokens, not cancelled')
def check_log_tokens(context, name, count):
    wait_until(lambda: log_entry(context, name)["finished"])
    entry = log_entry(context, name)
    assert (entry["tokens"], entry["cancelled"]) == (count, False), entry


@then('the log records "{name}" cancelled')
def check_log_cancelled(context, name):
    wait_until(lambda: (log_entry(context, name) or {}).get("cancelled"))
    assert log_entry(context, name)["tokens"] < 5000


@then('an order for request "{name}" is answered 404')
def check_order_unknown(context, name):
    assert order(context, name, "resume") == 404


@when('the caller of request "{name}" for {count:d} tokens closes its connection')
def close_connection(context, name, count):
    connection = http.client.HTTPConnection(context.url.removeprefix("http://"))
    body = json.dumps(chat_body(name, count) | {"stream": False})
    connection.request("POST", "/v1/chat/completions", body)
    wait_until(lambda: log_entry(context, name))
    connection.close()


@then("any body with a value of the wrong type is answered 400")
def check_invalid_bodies(context):
    url = f"{context.url}/v1/chat/completions"
    wrong = {
        "model": 3,
        "messages": "hello",
        "stream": "yes",
        "max_tokens": 0,
        "priority": "high",
        "request_id": [],
        "metadata": 7,
    }
    good = chat_body("good", 1)
    bodies = [good | {key: value} for key, value in wrong.items()]
    for body in [*bodies, [], None, good | {"metadata": {"output_tokens": "x"}}]:
        assert post_json(url, body) == 400, body
    assert call(url, b"{")[0] == 400
    assert call(url, json.dumps(good | {"stream": False}).encode())[0] == 200


@then("an unknown model is answered 404")
def check_unknown_model(context):
    body = chat_body("other", 1) | {"model": "other"}
    assert post_json(f"{context.url}/v1/chat/completions", body) == 404


@when('the engine becomes silent after the first token of "{name}"')
def make_silent(context, name):
    wait_until(lambda: context.callers[name].events)
    assert post_json(f"{context.url}/standin/faults", {"silent": True}) == 200


@when("the engine is no longer silent")
def end_silence(context):
    assert post_json(f"{context.url}/standin/faults", {"silent": False}) == 200
