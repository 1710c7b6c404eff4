"""Steps for servers whose answers break off, or have no valid head."""

import asyncio

from behave import given, then, when

from features.steps.gateway_steps import send
from features.support.scripted_server import ScriptedServer

SIGNED_HEADERS = "Zinniaramp-Request-Id: {id}\r\nZinniaramp-Server-Stamp: stamp.s-1\r\n"
SUCCESS_HEAD = f"HTTP/1.1 200 OK\r\n{SIGNED_HEADERS}"

BODIES = {
    "body": "Content-Length: 12\r\n\r\nsome bytes\n\n",
    "empty body": "Content-Length: 0\r\n\r\n",
    "body without a length": "\r\nsome bytes\n\n",
}
"""Ends of a head, and what follows it, by the words of the features."""


def start_server(context, answer, end, **options):
    """Start a server that answers with given bytes, and publish its entry."""
    rig = context.rig

    async def start():
        context.server = ScriptedServer(answer=answer, end=end, **options)
        rig.tasks.append(asyncio.create_task(context.server.run()))

    rig.run(start())
    rig.publish("s-1", port=context.server.port)


def unescape(text):
    """Return a text of a feature with its escape sequences replaced."""
    return text.encode().decode("unicode_escape")


@given(
    'a server that answers "{answer}" without a length, and whose connection is {end}'
)
@given('a server that answers "" without a length, and whose connection is {end}')
def start_without_length(context, end, answer=""):
    start_server(context, f"{SUCCESS_HEAD}\r\n{unescape(answer)}", end)


@given('a server that sends the signed head "{line}", and whose connection is {end}')
def start_with_head(context, line, end):
    start_server(context, f"{line}\r\n{SIGNED_HEADERS}\r\n", end)


@given(
    'a server that sends "{line}" with a signed {body}, and whose connection is {end}'
)
def start_with_line(context, line, body, end):
    start_server(context, f"{line}\r\n{SIGNED_HEADERS}{BODIES[body]}", end)


@given('a server that sends the bytes "{text}", and whose connection is {end}')
def start_with_bytes(context, text, end):
    start_server(context, unescape(text).replace("{signed}", SIGNED_HEADERS), end)


@given('a server that reads each request, and then answers "{answer}" without a length')
def start_that_reads(context, answer):
    answer = f"{SUCCESS_HEAD}\r\n{answer}"
    start_server(context, answer, "closed", reads_body=True)


@when('"{text}" is sent with a body of {count:d} bytes')
def send_with_body(context, text, count):
    send(context, text, body=b"x" * count)


@then("the ended send is logged with a problem")
def check_problem_logged(context):
    ended = context.rig.logged_events("send-ended")
    assert ended and all(one["problem"] for one in ended), ended


@then('the ended send is logged with the problem "{problem}"')
def check_problem(context, problem):
    ended = context.rig.logged_events("send-ended")
    assert ended and all(problem in one["problem"] for one in ended), ended
