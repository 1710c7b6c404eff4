"""Steps for errors that servers send in the middle of a stream."""

from behave import given, then

from features.steps.gateway_steps import (
    check_no_complete_success,
    first_server_behaves,
)
from zinniaramp.standins.platform import ServerBehaviour, expected_events


@given(
    'one server behaves as "{first}" at the first send, and all others as "{others}"'
)
def servers_behave(context, first, others):
    first_server_behaves(context, first)
    context.rig.servers["s-1"].behaviours.extend([ServerBehaviour(others)] * 10)


@then("the reply has events in order, no other text, and is not a complete success")
def reply_has_only_events(context):
    whole = expected_events(context.name, 1, 4)
    assert context.reply.body and whole.startswith(context.reply.body), context.reply
    assert context.reply.body.endswith(b"\n\n"), context.reply
    check_no_complete_success(context)
