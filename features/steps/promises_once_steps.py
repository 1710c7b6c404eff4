"""Steps about requests that run at most once, and about true words of not-run."""

import tempfile
from pathlib import Path

from behave import given, then, when

from features.support.processes import LiveFleet, wait_until
from zinniaramp.standins.fleet import MODEL

FLEETS = {}
ENGINE = {"chat": "engine-0", "call": "service-0"}
ENDPOINT = {"chat": "endpoint-0", "call": "service-endpoint-0"}
TARGET = {"chat": MODEL, "call": "ledger"}
TOKENS = 40
LESSONS = 8
SLOW = {"chat": 1.5, "call": 10}


def end_fleet(name):
    FLEETS.pop(name).close()


@given("a fleet of real processes")
def use_fleet(context):
    name = context.feature.filename
    if name not in FLEETS:
        FLEETS[name] = LiveFleet(Path(tempfile.mkdtemp(dir=context.directory.parent)))
        context.add_cleanup(end_fleet, name, layer="feature")
    context.fleet = FLEETS[name]
    context.marks = getattr(context.fleet, "marks", 0) + 1
    context.fleet.marks = context.marks
    context.mark = f"mark-{context.marks}"
    context.senders = []
    context.ticket = ""
    context.class_name = "record"


def send(context, entry):
    """Send the scenario's request through an entry."""
    fleet, ticket, class_name = context.fleet, context.ticket, context.class_name
    if context.kind == "chat":
        sender = fleet.chat(
            entry,
            mark=context.mark,
            tokens=TOKENS,
            class_name=class_name,
            ticket=ticket,
        )
    else:
        sender = fleet.call(
            entry, mark=context.mark, class_name=class_name, ticket=ticket
        )
    context.senders.append(sender)
    return sender


def executions(context):
    return context.fleet.executions(context.mark)


@when("a {kind:w} with a ticket is sent twice through every entry at once")
def send_at_once(context, kind):
    context.kind = kind
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    send_twice(context)


@when("a {kind:w} with that ticket is sent twice through every entry at once")
def send_again_at_once(context, kind):
    context.senders.clear()
    send_twice(context)


def send_twice(context):
    for entry in 2 * context.fleet.entries:
        send(context, entry)
    for sender in context.senders:
        sender.finish()


@when("a {kind:w} without a ticket is sent")
def send_without(context, kind):
    context.kind = kind
    context.sender = send(context, context.fleet.entries[0]).finish()


@when('a {kind:w} of class "{class_name}" without a ticket is sent')
def send_without_of_class(context, kind, class_name):
    context.class_name = class_name
    send_without(context, kind)


@then('its sender is told 428 and "not-run", with a ticket, and it has not run')
def check_ticket_given(context):
    sender = context.sender
    assert (sender.status, sender.outcome) == (428, "not-run"), sender.error
    assert executions(context) == []
    context.ticket = sender.error["ticket"]


@then("its reply names a ticket")
def check_ticket_named(context):
    sender = context.sender
    assert sender.outcome == "done", sender.error
    context.ticket = sender.reply_headers["Zinniaramp-Ticket"]


def block_engine(context):
    """Keep the engine's only slot busy; return the sender that does."""
    fleet = context.fleet
    placed = fleet.count_logged("endpoint-0", "accept")
    blocker = fleet.chat(
        fleet.entries[1], mark="blocker", tokens=2 * TOKENS, class_name="question"
    )
    fleet.wait_logged("endpoint-0", "accept", placed)
    return blocker


def reach_before_offer(context, strike):
    strike()
    send(context, context.fleet.entries[0])


def reach_after_offer(context, strike):
    fleet, endpoint = context.fleet, ENDPOINT[context.kind]
    routed = fleet.count_logged(fleet.entries[0], "attempt-routed")
    fleet.freeze(endpoint)
    send(context, fleet.entries[0])
    fleet.wait_logged(fleet.entries[0], "attempt-routed", routed)
    strike()
    if "freeze" not in context.fault:
        fleet.wake(endpoint)


def reach_after_acceptance(context, strike):
    fleet = context.fleet
    context.blocker = block_engine(context)
    placed = fleet.count_logged("endpoint-0", "accept")
    send(context, fleet.entries[0])
    fleet.wait_logged("endpoint-0", "accept", placed)
    strike()


def reach_after_hand_over(context, strike):
    engine = ENGINE[context.kind]
    context.fleet.set_faults(engine, slow=SLOW[context.kind])
    send(context, context.fleet.entries[0])
    wait_until(lambda: executions(context), "hand-over")
    strike()


def reach_mid_answer(context, strike):
    context.fleet.set_faults("engine-0", slow=SLOW["chat"])
    sender = send(context, context.fleet.entries[0])
    wait_until(lambda: sender.text, "first token")
    strike()


def reach_before_end(context, strike):
    engine = ENGINE[context.kind]
    context.fleet.set_faults(engine, silent=True)
    send(context, context.fleet.entries[0])
    wait_until(lambda: [one for one in executions(context) if one["finished"]], "run")
    strike()


POINTS = {
    "before the offer": reach_before_offer,
    "after the offer": reach_after_offer,
    "after the acceptance": reach_after_acceptance,
    "after the hand-over": reach_after_hand_over,
    "in mid-answer": reach_mid_answer,
    "before the end": reach_before_end,
}


def strike_once(context, fault):
    """Bring one fault about."""
    fleet, endpoint = context.fleet, ENDPOINT[context.kind]
    match fault:
        case "a cut":
            fleet.forwarder_to(endpoint).close_connections()
        case "a silence":
            fleet.forwarder_to(endpoint).silence()
        case "a split":
            fleet.forwarder_to(endpoint).start_partition()
        case "a freeze":
            fleet.freeze(endpoint)
        case "a kill":
            fleet.kill(endpoint)
        case "a frozen entry":
            fleet.freeze(fleet.entries[0])
        case "a dead entry":
            fleet.kill(fleet.entries[0])


def mend(context):
    """Undo every fault, and wait until every entry has its streams."""
    fleet = context.fleet
    for name in [*fleet.entries, *ENDPOINT.values()]:
        fleet.wake(name)
    for forwarder in fleet.forwarders.values():
        forwarder.end_partition()
    for name in ENGINE.values():
        fleet.set_faults(name, slow=1, silent=False, refuse=False)
    for name in fleet.entries:
        fleet.wait_open(name)


@when("a {kind:w} with a ticket is sent and {fault} meets it {point}")
def send_into_fault(context, kind, fault, point):
    context.kind, context.fault = kind, fault
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    names = fault.split(" and ")

    def strike():
        for name in names:
            strike_once(context, name)

    POINTS[point](context, strike)


@when("a {kind:w} with a ticket is sent while the service {drops}")
def send_to_failing_service(context, kind, drops):
    context.kind = kind
    context.ticket = context.fleet.ticket(TARGET[kind], context.class_name)
    faults = {"gives nothing": {"silent": True}, "refuses": {"refuse": True}}
    context.fleet.set_faults(ENGINE[kind], **faults[drops])
    send(context, context.fleet.entries[0])
    if drops == "gives nothing":
        wait_until(lambda: executions(context), "hand-over")


@when("it is sent again through every entry before and after all is mended")
def send_again(context):
    early = [send(context, entry) for entry in context.fleet.entries[1:]]
    for sender in early:
        sender.finish()
    mend(context)
    for sender in context.senders:
        sender.finish()
    context.last = [send(context, entry).finish() for entry in context.fleet.entries]
    context.fleet.settle()


def check_truth(context):
    """Check every sender's word against the logs of the stand-ins."""
    runs = executions(context)
    told = [sender.outcome for sender in context.senders]
    assert len(runs) <= 1, runs
    assert not (runs and "not-run" in told), (runs, told)
    assert runs or "done" not in told or context.sender_may_be_refused, told
    texts = {one.text for one in context.senders if one.outcome == "done"}
    assert len(texts) <= 1, texts
    return runs


@then("it ran at most once, and what every sender was told is true")
def check_at_most_once(context):
    context.sender_may_be_refused = True
    check_truth(context)


@then("it ran once, and every sender has the same whole answer")
def check_once(context):
    context.sender_may_be_refused = False
    context.fleet.settle()
    assert len(check_truth(context)) == 1
    assert {one.outcome for one in context.senders} == {"done"}


@then("the endpoint process {knows:w} it")
def check_last_word(context, knows):
    told = {(one.outcome, one.text) for one in context.last}
    outcomes = {outcome for outcome, _ in told}
    if knows == "forgot":
        assert outcomes == {"unknown"}, told
    else:
        assert len(told) == 1 and outcomes == {"done"}, told


def teach_lengths(context, class_names):
    """Let the endpoint process see short answers, so that it expects them."""
    for number in range(LESSONS):
        for class_name in class_names:
            lesson = context.fleet.chat(
                context.fleet.entries[0],
                mark=f"lesson {number}",
                tokens=2,
                class_name=class_name,
            )
            lesson.finish()


def send_marked(context, number, class_name):
    """Send a repeatable request with a mark of its own."""
    fleet = context.fleet
    entry = fleet.entries[number % len(fleet.entries)]
    mark = f"{context.mark}-{number}"
    sender = fleet.chat(entry, mark=mark, tokens=10, class_name=class_name)
    sender.mark = mark
    context.senders.append(sender)


@when('the engine is busy and {count:d} requests of class "{class_name}" are sent')
def send_behind_blocker(context, count, class_name):
    context.kind = "chat"
    teach_lengths(context, ["question", class_name])
    context.fleet.set_faults("engine-0", slow=SLOW["chat"])
    block_engine(context)
    accepted = context.fleet.count_logged("endpoint-0", "accept")
    for number in range(count):
        send_marked(context, number, class_name)
    context.fleet.wait_logged("endpoint-0", "accept", accepted + count - 1)


@when('the engine runs a slow request of class "quick"')
def send_slow(context):
    context.kind = "chat"
    context.fleet.set_faults("engine-0", slow=SLOW["chat"], silent=True)
    send_marked(context, 0, "quick")
    wait_until(lambda: context.fleet.executions(context.senders[0].mark), "run")


@when("{fault} meets the endpoint process while they wait")
@when("{fault} meets the endpoint process while it runs")
def strike_while(context, fault):
    for name in fault.split(" and "):
        strike_once(context, name)


@when('{count:d} requests of class "quick" are sent as slots come free')
def send_race(context, count):
    context.kind = "chat"
    for number in range(count):
        send_marked(context, number, "quick")


@then('they are told "not-run" with a time to come back')
def check_told_not_run(context):
    for sender in context.senders:
        sender.finish()
        assert sender.outcome == "not-run", (sender.outcome, sender.error)
        assert int(sender.reply_headers["Retry-After"]) > 0


@then('some are told "not-run"')
def check_some_not_run(context):
    assert marks_told_not_run(context)


@when("a ticket is refused at one entry because the engine is busy")
def send_refused(context):
    context.kind, context.class_name = "chat", "brief"
    context.fleet.kill("endpoint-0")
    mend(context)
    context.ticket = context.fleet.ticket(MODEL, context.class_name)
    context.fleet.set_faults("engine-0", slow=SLOW["chat"])
    context.blocker = block_engine(context)
    sender = send(context, context.fleet.entries[0]).finish()
    assert (sender.status, sender.outcome) == (429, "not-run"), sender.error


@when("it is sent through the others once the engine is free")
def send_once_free(context):
    context.blocker.finish()
    for entry in context.fleet.entries[1:]:
        send(context, entry)


@then("all are told that it did not run, and it never runs")
def check_never_runs(context):
    assert {one.finish().outcome for one in context.senders} == {"not-run"}
    mend(context)
    context.fleet.settle()
    assert executions(context) == []


@then('it is told "unknown"')
def check_told_unknown(context):
    assert context.senders[0].finish().outcome == "unknown", context.senders[0].error


def marks_told_not_run(context):
    senders = [one.finish() for one in context.senders]
    return {one.mark for one in senders if one.outcome == "not-run"}


@then('none that was told "not-run" ever runs')
def check_not_run(context):
    told = marks_told_not_run(context)
    assert not [mark for mark in told if context.fleet.executions(mark)]
    mend(context)
    context.fleet.settle()
    assert not [mark for mark in told if context.fleet.executions(mark)]
