"""Steps for servers that report their leaving, or when to come back, in answers."""

from datetime import timedelta

from behave import given, then, when

from zinniaramp.standins.platform import ServerBehaviour

SHED_ANSWERS = 100
"""More answers than any scenario requests."""


@given('the server "{name}" reports its leaving in all answers')
def report_leaving(context, name):
    context.rig.servers[name].is_leaving = True


@given('the server "{name}" sheds all requests for {seconds:d} seconds')
def shed_for(context, name, seconds):
    shed_with(context, name, str(seconds))


@given('the server "{name}" sheds all requests with the Retry-After "{text}"')
def shed_with(context, name, text):
    server = context.rig.servers[name]
    server.retry_after = text
    server.behaviours.extend([ServerBehaviour.SHED] * SHED_ANSWERS)


@when('"{text}" is sent until "{name}" has answered')
def send_until_answered(context, text, name):
    rig = context.rig
    method, path = text.split()
    before = len(rig.servers[name].arrivals)

    async def send():
        number = 0
        while len(rig.servers[name].arrivals) == before:
            number += 1
            await rig.call(path, name=f"until-{before}-{number}", method=method)

    rig.run(send())


@when('"{text}" is sent until every server has answered')
def send_until_all_answered(context, text):
    for name, server in context.rig.servers.items():
        if not server.arrivals:
            send_until_answered(context, text, name)


@then('the server "{name}" has received {count:d} request')
@then('the server "{name}" has received {count:d} requests')
def check_received(context, name, count):
    arrivals = context.rig.servers[name].arrivals
    assert len(arrivals) == count, len(arrivals)


@then('the log has {count:d} event "{name}"')
@then('the log has {count:d} events "{name}"')
def check_event_count(context, count, name):
    events = context.rig.logged_events(name)
    assert len(events) == count, events


@when('{seconds:d} seconds have passed and the server "{name}" sheds no more')
def pass_time(context, seconds, name):
    context.rig.servers[name].behaviours.clear()
    cooldowns = context.rig.daemons[0].gateway.pool.restrictions.cooldowns
    clock = cooldowns.clock
    cooldowns.clock = lambda: clock() + timedelta(seconds=seconds)


@then(
    "each reply is 503 with a different Retry-After from {first:d} to {last:d} seconds"
)
def check_refused_with_times(context, first, last):
    replies = context.replies
    assert all(reply.status == 503 for reply in replies), replies
    waits = [float(reply.headers["retry-after"]) for reply in replies]
    assert all(first <= wait <= last for wait in waits), waits
    assert len(set(waits)) == len(waits), waits


@given(
    "a model server that sheds the reading of its cached segments "
    "for {seconds:d} seconds"
)
def shed_reading(context, seconds):
    rig = context.rig
    rig.run(rig.add_model_server("m-1", slots=1, refuses_reads_for=seconds))
    rig.run(rig.wait_until(lambda: rig.logged_events("endpoint-cooldown")))


@then("it is read no more and gets no prompt")
def check_left_alone(context):
    rig = context.rig
    lines = ("Zinniaramp-Token-Usage: 100,50",)
    reply = rig.run(rig.call("/ask/x", lines=lines))
    assert reply.status == 503, reply
    assert rig.servers["m-1"].reads == 1, rig.servers["m-1"].reads
    assert not rig.servers["m-1"].arrivals
