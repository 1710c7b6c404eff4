"""Steps for at-most-once execution and of requests reported as not run."""

import tempfile
from pathlib import Path

from behave import given, then, when

from features.support.processes import LiveFleet, wait_until
from zinniaramp.standins.fleet import MODEL

FLEETS = {}
"""Fleet of each feature file that has started one."""
ENGINE = {"chat": "engine-0", "call": "service-0"}
"""Process that runs each kind of request."""
ENDPOINT = {"chat": "endpoint-0", "call": "service-endpoint-0"}
"""Endpoint process of each kind of request."""
TARGET = {"chat": MODEL, "call": "ledger"}
"""Model or service that each kind of request is for."""
TOKENS = 40
TRAINING_REQUESTS = 8
"""Short requests of each class from which the output estimate is learned."""
SLOW_FACTORS = {"chat": 1.5, "call": 10}
"""Factors on the times of the engine and of the service, so that faults hit a run."""


def end_fleet(name):
    """End the fleet of a feature file."""
    FLEETS.pop(name).close()


@given("a fleet of real processes")
def use_fleet(context):
    name = context.feature.filename
    if name not in FLEETS:
        FLEETS[name] = LiveFleet(Path(tempfile.mkdtemp(dir=context.directory.parent)))
        context.add_cleanup(end_fleet, name, layer="feature")
    context.fleet = FLEETS[name]
    context.mark_count = getattr(context.fleet, "mark_count", 0) + 1
    context.fleet.mark_count = context.mark_count
    context.mark = f"mark-{context.mark_count}"
    context.senders = []
    context.ticket = ""
    context.class_name = "record"


def send(context, entry):
    """Send the scenario's request through an entry and return its sender."""
    fleet, ticket, class_name = context.fleet, context.ticket, context.class_name
    if context.kind == "chat":
        sender = fleet.send_chat(
            entry,
            mark=context.mark,
            tokens=TOKENS,
            class_name=class_name,
            ticket=ticket,
        )
    else:
        sender = fleet.send_call(
            entry, mark=context.mark, class_name=class_name, ticket=ticket
        )
    context.senders.append(sender)
    return sender


def executions(context):
    """Return the executions of the scenario's request, as the stand-ins logged them."""
    return context.fleet.executions(context.mark)


@when("a {kind:w} with a ticket is sent twice through every entry concurrently")
def send_concurrently(context, kind):
    context.kind = kind
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    send_twice(context)


@when("a {kind:w} with that ticket is sent twice through every entry concurrently")
def send_again_concurrently(context, kind):
    context.senders.clear()
    send_twice(context)


def send_twice(context):
    """Send the request twice through every entry, and wait for the answers."""
    for entry in 2 * context.fleet.entries:
        send(context, entry)
    for sender in context.senders:
        sender.finish()


@when("a {kind:w} without a ticket is sent")
def send_without_ticket(context, kind):
    context.kind = kind
    context.sender = send(context, context.fleet.entries[0]).finish()


@when('a {kind:w} of class "{class_name}" without a ticket is sent')
def send_class_without_ticket(context, kind, class_name):
    context.class_name = class_name
    send_without_ticket(context, kind)


@then('its sender receives status 428, "not-run" and a ticket, and it has not run')
def check_ticket_in_error(context):
    sender = context.sender
    assert (sender.status, sender.outcome) == (428, "not-run"), sender.error
    assert executions(context) == []
    context.ticket = sender.error["ticket"]


@then("its reply names a ticket")
def check_ticket_in_reply(context):
    sender = context.sender
    assert sender.outcome == "done", sender.error
    context.ticket = sender.reply_headers["Zinniaramp-Ticket"]


def block_engine(context):
    """Occupy the engine's only slot; return the sender of the request that runs."""
    fleet = context.fleet
    accepted = fleet.count_logged("endpoint-0", "accept")
    blocker = fleet.send_chat(
        fleet.entries[1], mark="blocker", tokens=2 * TOKENS, class_name="question"
    )
    fleet.wait_logged("endpoint-0", "accept", accepted)
    return blocker


def inject_before_offer(context, inject):
    """Inject faults, then send the request."""
    inject()
    send(context, context.fleet.entries[0])


def inject_after_offer(context, inject):
    """Inject faults while the offer is sent but not yet read.

    The endpoint process is frozen meanwhile, so that it cannot accept the offer.
    """
    fleet, endpoint = context.fleet, ENDPOINT[context.kind]
    routed = fleet.count_logged(fleet.entries[0], "attempt-routed")
    fleet.freeze(endpoint)
    send(context, fleet.entries[0])
    fleet.wait_logged(fleet.entries[0], "attempt-routed", routed)
    inject()
    if "freeze" not in context.fault:
        fleet.resume(endpoint)


def inject_after_acceptance(context, inject):
    """Inject faults while the accepted request is queued."""
    fleet = context.fleet
    context.blocker = block_engine(context)
    accepted = fleet.count_logged("endpoint-0", "accept")
    send(context, fleet.entries[0])
    fleet.wait_logged("endpoint-0", "accept", accepted)
    inject()


def inject_after_start(context, inject):
    """Inject faults when the engine or the service has received the request."""
    engine = ENGINE[context.kind]
    context.fleet.set_faults(engine, slow=SLOW_FACTORS[context.kind])
    send(context, context.fleet.entries[0])
    wait_until(lambda: executions(context), "start of the request")
    inject()


def inject_during_answer(context, inject):
    """Inject faults when the caller has received the first token."""
    context.fleet.set_faults("engine-0", slow=SLOW_FACTORS["chat"])
    sender = send(context, context.fleet.entries[0])
    wait_until(lambda: sender.text, "first token")
    inject()


def inject_between_run_and_answer(context, inject):
    """Inject faults when the request has run but its answer is not sent."""
    engine = ENGINE[context.kind]
    context.fleet.set_faults(engine, silent=True)
    send(context, context.fleet.entries[0])
    wait_until(lambda: [one for one in executions(context) if one["finished"]], "run")
    inject()


INJECTION_POINTS = {
    "before the offer": inject_before_offer,
    "after the offer": inject_after_offer,
    "after the acceptance": inject_after_acceptance,
    "after the start": inject_after_start,
    "during the answer": inject_during_answer,
    "between run and answer": inject_between_run_and_answer,
}
"""Functions that send the request and inject faults at one point of its handling."""


def inject_fault(context, fault):
    """Inject one fault into the fleet."""
    fleet, endpoint = context.fleet, ENDPOINT[context.kind]
    match fault:
        case "a disconnect":
            fleet.forwarder_to(endpoint).close_connections()
        case "a silence":
            fleet.forwarder_to(endpoint).silence()
        case "a partition":
            fleet.forwarder_to(endpoint).start_partition()
        case "a freeze":
            fleet.freeze(endpoint)
        case "a kill":
            fleet.kill(endpoint)
        case "a frozen entry":
            fleet.freeze(fleet.entries[0])
        case "a killed entry":
            fleet.kill(fleet.entries[0])


def remove_faults(context):
    """Remove every fault, and wait until every entry has its streams."""
    fleet = context.fleet
    for name in [*fleet.entries, *ENDPOINT.values()]:
        fleet.resume(name)
    for forwarder in fleet.forwarders.values():
        forwarder.end_partition()
    for name in ENGINE.values():
        fleet.set_faults(name, slow=1, silent=False, refuse=False)
    for name in fleet.entries:
        fleet.wait_connected(name)


@when("a {kind:w} with a ticket is sent and {fault} occurs {point}")
def send_with_fault(context, kind, fault, point):
    context.kind, context.fault = kind, fault
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    names = fault.split(" and ")

    def inject_faults():
        for name in names:
            inject_fault(context, name)

    INJECTION_POINTS[point](context, inject_faults)


@when("a {kind:w} with a ticket is sent while the service {failure}")
def send_to_failing_service(context, kind, failure):
    context.kind = kind
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    faults = {"sends no answer": {"silent": True}, "refuses it": {"refuse": True}}
    context.fleet.set_faults(ENGINE[kind], **faults[failure])
    send(context, context.fleet.entries[0])
    if failure == "sends no answer":
        wait_until(lambda: executions(context), "start of the request")


@when("it is sent again through every entry before and after the faults are removed")
def send_again(context):
    early_senders = [send(context, entry) for entry in context.fleet.entries[1:]]
    for sender in early_senders:
        sender.finish()
    remove_faults(context)
    for sender in context.senders:
        sender.finish()
    context.last_senders = [
        send(context, entry).finish() for entry in context.fleet.entries
    ]
    context.fleet.wait_idle()


def check_outcomes(context):
    """Check every sender's outcome against the executions in the stand-ins' logs."""
    runs = executions(context)
    outcomes = [sender.outcome for sender in context.senders]
    assert len(runs) <= 1, runs
    assert not (runs and "not-run" in outcomes), (runs, outcomes)
    assert runs or "done" not in outcomes or context.sender_may_be_refused, outcomes
    texts = {one.text for one in context.senders if one.outcome == "done"}
    assert len(texts) <= 1, texts
    return runs


@then("it ran at most once, and every sender received a correct outcome")
def check_at_most_once(context):
    context.sender_may_be_refused = True
    check_outcomes(context)


@then("it ran once, and every sender received the same complete answer")
def check_once(context):
    context.sender_may_be_refused = False
    context.fleet.wait_idle()
    assert len(check_outcomes(context)) == 1
    assert {one.outcome for one in context.senders} == {"done"}


@then('the last retries all have outcome "{expected:w}"')
def check_last_retries(context, expected):
    senders = context.last_senders
    results = {(one.outcome, one.text) for one in senders}
    outcomes = {outcome for outcome, _ in results}
    seen = [(one.status, one.outcome, one.error, one.text) for one in senders]
    if expected == "unknown":
        assert outcomes == {"unknown"}, seen
    else:
        assert len(results) == 1 and outcomes == {"done"}, seen


def train_length_estimate(context, class_names):
    """Run short requests, so that the endpoint process predicts short outputs."""
    for number in range(TRAINING_REQUESTS):
        for class_name in class_names:
            sender = context.fleet.send_chat(
                context.fleet.entries[0],
                mark=f"training {number}",
                tokens=2,
                class_name=class_name,
            )
            sender.finish()


def send_marked(context, number, class_name):
    """Send a repeatable request with a mark of its own."""
    fleet = context.fleet
    entry = fleet.entries[number % len(fleet.entries)]
    mark = f"{context.mark}-{number}"
    sender = fleet.send_chat(entry, mark=mark, tokens=10, class_name=class_name)
    sender.mark = mark
    context.senders.append(sender)


@when('the engine is busy and {count:d} requests of class "{class_name}" are sent')
def send_behind_blocker(context, count, class_name):
    context.kind = "chat"
    train_length_estimate(context, ["question", class_name])
    context.fleet.set_faults("engine-0", slow=SLOW_FACTORS["chat"])
    block_engine(context)
    accepted = context.fleet.count_logged("endpoint-0", "accept")
    for number in range(count):
        send_marked(context, number, class_name)
    context.fleet.wait_logged("endpoint-0", "accept", accepted + count - 1)


@when('the engine runs a slow request of class "quick"')
def send_slow(context):
    context.kind = "chat"
    context.fleet.set_faults("engine-0", slow=SLOW_FACTORS["chat"], silent=True)
    send_marked(context, 0, "quick")
    wait_until(lambda: context.fleet.executions(context.senders[0].mark), "run")


@when("{fault} occurs at the endpoint process while they are queued")
@when("{fault} occurs at the endpoint process while it runs")
def inject_at_endpoint(context, fault):
    for name in fault.split(" and "):
        inject_fault(context, name)


@when('{count:d} requests of class "quick" are sent as slots are released')
def send_many(context, count):
    context.kind = "chat"
    for number in range(count):
        send_marked(context, number, "quick")


@then('they receive "not-run" with a Retry-After header')
def check_retry_after(context):
    for sender in context.senders:
        sender.finish()
        assert sender.outcome == "not-run", (sender.outcome, sender.error)
        assert int(sender.reply_headers["Retry-After"]) > 0


@then('some receive "not-run"')
def check_some_not_run(context):
    assert not_run_marks(context)


@when("a ticket is refused at one entry because the engine is busy")
def send_refused(context):
    context.kind, context.class_name = "chat", "brief"
    context.fleet.kill("endpoint-0")
    remove_faults(context)
    context.ticket = context.fleet.ticket(MODEL, context.class_name)
    context.fleet.set_faults("engine-0", slow=SLOW_FACTORS["chat"])
    context.blocker = block_engine(context)
    sender = send(context, context.fleet.entries[0]).finish()
    assert (sender.status, sender.outcome) == (429, "not-run"), sender.error


@when("it is sent through the other entries when the engine is free")
def send_to_other_entries(context):
    context.blocker.finish()
    for entry in context.fleet.entries[1:]:
        send(context, entry)


@then('all receive "not-run", and it never runs')
def check_never_runs(context):
    assert {one.finish().outcome for one in context.senders} == {"not-run"}
    remove_faults(context)
    context.fleet.wait_idle()
    assert executions(context) == []


@then('it receives "unknown"')
def check_unknown(context):
    assert context.senders[0].finish().outcome == "unknown", context.senders[0].error


def not_run_marks(context):
    """Return the marks of the requests whose senders received ``not-run``."""
    senders = [one.finish() for one in context.senders]
    return {one.mark for one in senders if one.outcome == "not-run"}


@then('none that received "not-run" ever runs')
def check_not_run(context):
    marks = not_run_marks(context)
    assert not [mark for mark in marks if context.fleet.executions(mark)]
    remove_faults(context)
    context.fleet.wait_idle()
    assert not [mark for mark in marks if context.fleet.executions(mark)]
