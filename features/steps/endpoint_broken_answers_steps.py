"""Steps for engines and services whose answers break off, or have no valid head."""

import json

from behave import given, then, when

from features.endpoint.rig import Rig
from features.support.scripted_server import ScriptedServer
from zinniaramp.contracts import Chunk, End, Head
from zinniaramp.endpoint.engine import EngineOrder


def start_for_server(context, kind, answer, end, **options):
    """Start an endpoint process for a server that answers with given bytes."""
    rig = context.rig = Rig(kind=kind)
    context.add_cleanup(rig.close)
    text = answer.encode().decode("unicode_escape")
    context.server = ScriptedServer(
        answer=text, end=end, port=rig.engine_port, **options
    )
    rig.tasks.append(rig.loop.create_task(context.server.run()))
    rig.start()


@given(
    'an endpoint process for {kind} that answers "{answer}", '
    "and whose connection is {end}"
)
def start_for_scripted_server(context, kind, answer, end):
    start_for_server(context, kind, answer, end)


@given(
    "an endpoint process for a service that reads each request "
    'before it answers "{answer}"'
)
def start_for_reading_server(context, answer):
    start_for_server(context, "service", answer, "closed", reads_body=True)


@when('attempt "{name}" with a body of {count:d} bytes is offered')
def offer_with_body(context, name, count):
    body = json.dumps({"text": "x" * count}).encode()
    context.rig.offer(name, "question", 1, body=body)


@then('"{name}" ends as "{outcome}" and has no answer')
def check_ends_without_answer(context, name, outcome):
    rig = context.rig
    end = rig.wait_for(End, name)
    assert end.outcome == outcome, end
    assert not rig.received(Head, name) and not rig.received(Chunk, name)


@when("an order is sent to the engine")
def send_order(context):
    rig = context.rig
    engine = rig.process.executor.engine
    context.result = rig.run(engine.order("a", EngineOrder.CANCEL))


@then("the order has {result}")
def check_order(context, result):
    assert context.result.is_ok() == (result == "succeeded"), context.result
