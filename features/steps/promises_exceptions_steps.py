"""Steps for exceptions that the endpoint process applies."""

import json

from behave import given, then, when

from features.endpoint.rig import MODEL, Rig
from zinniaramp.configuration.sections import make_section, revision_digest
from zinniaramp.contracts import (
    Accepted,
    Offer,
    Refused,
    RevisionId,
    SectionsReply,
    SectionsRequest,
)
from zinniaramp.declarations import read_declarations, resolve_class

EXCEPTED_WORKSPACE = "archive"
TOKENS = 40
EXCEPTIONS = """
[class question]
tier = 2
[class summary]
tier = 6
preemptible = false
[workspace archive]
[exception early]
reason = loaned reels go back on a fixed morning
class_name = summary
workspace = archive
set_key = tier
set_value = 3
[exception once]
reason = their questions are billed one by one
class_name = question
workspace = archive
set_key = repeatable
set_value = false
"""
PREEMPTIBLE = """
[class call]
tier = 2
[workspace archive]
[exception pausable]
reason = their calls may be paused for others
class_name = call
workspace = archive
set_key = preemptible
set_value = true
"""


def start_rig(context, text, kind):
    """Start an endpoint process with declarations for an engine or a service."""
    context.rig = Rig(kind=kind)
    context.add_cleanup(context.rig.close)
    context.rig.serve_engine()
    context.rig.start()
    revision = RevisionId(index=2, digest="")
    declarations = read_declarations(text, file="", revision=revision).unwrap()
    context.rig.revisions.advance(declarations).unwrap()


def send_offer(rig, name, class_name, workspace, revision_index=2):
    """Send an offer of a repeatable attempt of a workspace."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": name}],
        "max_tokens": TOKENS,
        "metadata": {"mark": name, "output_tokens": TOKENS},
    }
    rig.send(
        Offer(
            attempt_id=name,
            target=MODEL,
            class_name=class_name,
            workspace=workspace,
            revision_index=revision_index,
            deadline_s=30,
            ticket="",
            method="POST",
            path="/v1/chat/completions",
            headers=[],
            body=json.dumps(body).encode(),
            credit=1000,
        )
    )


@given('an endpoint process whose class "summary" has exceptions for one workspace')
def start_with_exceptions(context):
    start_rig(context, EXCEPTIONS, "engine")


@when('"busy" of class "summary" runs and "other" of another workspace is queued')
def occupy(context):
    send_offer(context.rig, "busy", "summary", "other")
    context.rig.wait_until(lambda: context.rig.marks() == ["busy"], "busy runs")
    send_offer(context.rig, "other", "summary", "other")


@when('"urgent" of class "summary" of that workspace is offered')
def offer_urgent(context):
    rig = context.rig
    send_offer(rig, "urgent", "summary", EXCEPTED_WORKSPACE)
    executor = rig.process.executor
    rig.wait_until(lambda: "urgent" in executor.attempts, "urgent is accepted")
    context.call = executor.build_call(executor.attempts["urgent"]).unwrap()


@then('"urgent" starts first, by the tier of its exception')
def check_order(context):
    rig = context.rig
    rig.wait_until(lambda: len(rig.marks()) == 3, "three have started")
    assert rig.marks() == ["busy", "urgent", "other"], rig.marks()


@then('an offer of class "question" of that workspace needs a ticket by its {_}')
def check_ticket(context, _):
    send_offer(context.rig, "plain", "question", "other")
    send_offer(context.rig, "billed", "question", EXCEPTED_WORKSPACE)
    refused = context.rig.wait_for(Refused, "billed")
    assert refused.reason == "ticket-invalid", refused
    assert not context.rig.received(Refused, "plain")


@then("the engine receives the priority of the exception")
def check_priority(context):
    assert json.loads(context.call.body)["priority"] == 3, context.call.body


@given("an endpoint process for a plain service with an exception for preemptible")
def start_service(context):
    start_rig(context, PREEMPTIBLE, "service")


@then("its scheduler has no preemptible entry of any workspace")
def check_not_preemptible(context):
    resolve_class(context.rig.revisions.current(), "call", EXCEPTED_WORKSPACE)
    for workspace in ("other", EXCEPTED_WORKSPACE):
        send_offer(context.rig, workspace, "call", workspace)
    entries = context.rig.process.executor.scheduler.entries
    context.rig.wait_until(lambda: len(entries) == 2, "both are accepted")
    for entry in entries.values():
        assert not entry.is_pausable, entry


@when("a revision without exceptions comes into force")
def drop_exceptions(context):
    text = EXCEPTIONS.partition("[exception early]")[0]
    revision = RevisionId(index=3, digest="")
    declarations = read_declarations(text, file="", revision=revision).unwrap()
    context.rig.revisions.advance(declarations).unwrap()


@when("an offer arrives whose class is only in the entry's revision")
def offer_newer(context):
    sections = (make_section(f"{EXCEPTIONS}\n[class novel]\ntier = 4\n"),)
    context.newer_sections = SectionsReply(
        revision=RevisionId(index=9, digest=revision_digest(sections)),
        digests=[sections[0].digest[:16]],
        texts=[sections[0].text],
    )
    send_offer(context.rig, "early", "novel", "other", revision_index=9)


@then("the endpoint process requests the entry's sections")
def check_sections_requested(context):
    messages = context.rig.callers[-1].messages
    context.rig.wait_until(
        lambda: any(isinstance(one, SectionsRequest) for one in messages), "request"
    )


@then("the offer is accepted when they have arrived, and not refused before")
def check_held(context):
    rig = context.rig
    assert not rig.received(Refused, "early")
    rig.send(context.newer_sections)
    rig.wait_until(
        lambda: rig.received(Accepted, "early") or rig.received(Refused, "early"),
        "an answer to the offer",
    )
    assert not rig.received(Refused, "early"), rig.received(Refused, "early")
