"""Steps for the history checker."""

import json
import subprocess
import sys
from dataclasses import replace
from datetime import UTC, datetime

from behave import given, then, when

from zinniaramp.history import (
    ExecutionRecord,
    Guarantee,
    History,
    Limits,
    LogLine,
    Outage,
    RequestRecord,
    check_history,
)
from zinniaramp.history.reading import write_lines

TIERS = {"question": 1, "ledger": 2, "dossier": 6}

LIMITS = Limits(progress_s=20, queue_places=2)

ENTRY_URL = "http://127.0.0.1:1"


def line(process, time, name, **fields):
    """Return one event of a process's log."""
    return LogLine(process=process, time=float(time), name=name, fields=fields)


def placed(time, attempt, decision="accept", reason="", **changed):
    """Return the endpoint's decision whether to accept an attempt."""
    name = attempt.partition("-")[0]
    fields = {"class": name, "tier": TIERS[name], "pausable": name == "dossier"}
    fields |= {"attempt": attempt, "decision": decision, "reason": reason} | changed
    return line("endpoint-0", time, "attempt-placed", **fields)


def scheduled(time, attempt, decision, floor_s=0.0):
    """Return a decision of the endpoint's scheduler on an attempt."""
    fields = {"class": attempt.partition("-")[0], "floor_s": floor_s}
    fields |= {"attempt": attempt, "decision": decision}
    return line("endpoint-0", time, "attempt-scheduled", **fields)


def ended(time, attempt):
    """Return the event that ends an attempt at the endpoint."""
    return line("endpoint-0", time, "attempt-ended", attempt=attempt)


def start_events(process, time, index):
    """Return the events of a process that starts with a revision."""
    return [
        line(process, time, "process-started"),
        line(process, time, "revision-accepted", index=index),
        line(process, time, "process-settled", index=index),
    ]


def request(mark, fate="whole", **changed):
    """Return a caller's record of a request."""
    fields = {
        "class_name": "question",
        "is_repeatable": True,
        "entry": ENTRY_URL,
        "sent": 10.0,
        "ended": 15.0,
        "outcome": "done",
        "request_id": f"r-{mark}",
        "sends": 1,
        "not_run_answers": 0,
    }
    return RequestRecord(mark=mark, fate=fate, **(fields | changed))


@given("a history without breaches")
def make_history_without_breaches(context):
    endpoint = [
        *start_events("endpoint-0", 0, 1),
        placed(10, "dossier-1"),
        scheduled(10, "dossier-1", "start"),
        placed(11, "question-1"),
        scheduled(11, "dossier-1", "pause"),
        scheduled(11, "question-1", "start"),
        placed(12, "question-2", "refuse", "overloaded"),
        ended(13, "question-1"),
        scheduled(13, "dossier-1", "resume"),
        ended(20, "dossier-1"),
        line("endpoint-0", 25, "revision-accepted", index=2),
        line("endpoint-0", 60, "drain-ended", unfinished=0),
    ]
    entry = [
        *start_events("entry-0", 0, 1),
        line("entry-0", 24, "revision-accepted", index=2),
        line("entry-0", 60, "shutdown-ended", left=0),
    ]
    context.history = History(
        requests=[request("mark-1"), request("mark-2", "refused", not_run_answers=1)],
        runs=[ExecutionRecord(stand_in="engine-0", mark="mark-1")],
        logs={"endpoint-0": endpoint, "entry-0": entry},
    )


def add_events(context, process, *lines):
    """Insert events into a process's log, in order of time."""
    log = [*context.history.logs.get(process, []), *lines]
    context.history.logs[process] = sorted(log, key=lambda one: one.time)


def at_endpoint(*lines):
    """Return a function that adds events to the endpoint's log."""
    return lambda context: add_events(context, "endpoint-0", *lines)


def at_entry(*lines):
    """Return a function that adds events to the entry process's log."""
    return lambda context: add_events(context, "entry-0", *lines)


def add_request(record, *runs):
    """Return a function that adds a caller's record and executions of its request."""

    def change(context):
        context.history.requests.append(record)
        context.history.runs += [
            ExecutionRecord(stand_in=run, mark=record.mark) for run in runs
        ]

    return change


def revert_revision(context):
    """Make the entry process revert to revision 1 after revision 2."""
    add_events(context, "entry-0", line("entry-0", 30, "revision-accepted", index=1))
    log = context.history.logs["entry-0"]
    context.history.logs["entry-0"] = [
        replace(one, time=59.0) if one.get("index") == 1 and one.time == 30 else one
        for one in sorted(log, key=lambda one: (one.time, one.get("index") or 0))
    ]


def running_dossier(**changed):
    """Return the events of a dossier that runs from 30 s to 45 s."""
    floor_s = changed.pop("floor_s", 0.0)
    return [
        placed(30, "dossier-8", **changed),
        scheduled(30, "dossier-8", "start", floor_s=floor_s),
        ended(45, "dossier-8"),
    ]


REFUSED = placed(32, "question-9", "refuse", "overloaded")

EXPIRED = [placed(31, "question-9"), scheduled(35, "question-9", "expire")]

LEAVING = line("endpoint-0", 40, "host-leaving")


def routed(time):
    """Return the event of an entry process that routes an attempt to the endpoint."""
    return line(
        "entry-0", time, "attempt-routed", attempt="dossier-9", chosen="endpoint-0"
    )


def cut_by_endpoint(context, *, outcome, is_graceful):
    """Add a truncated answer and an outage of its endpoint process."""
    record = request("mark-9", "cut", outcome=outcome, request_id="r.0.endpoint-0")
    context.history.requests.append(record)
    context.history.outages.append(
        Outage(process="endpoint-0", url="", start=9, end=20, is_graceful=is_graceful)
    )


def accept_late(context, outage_end):
    """Make the endpoint accept revision 3 at 50 s, 20 s after the entry process.

    The endpoint has an outage from 29 s to `outage_end`.
    """
    add_events(context, "entry-0", line("entry-0", 30, "revision-accepted", index=3))
    add_events(
        context, "endpoint-0", line("endpoint-0", 50, "revision-accepted", index=3)
    )
    context.history.outages.append(
        Outage(process="endpoint-0", url="", start=29, end=outage_end)
    )


def fleet_refusal(time):
    """Return the events of a request refused because the fleet is overloaded.

    Another endpoint, which serves the same model, refused it.
    """
    return [
        line(
            "entry-0",
            11,
            "attempt-routed",
            attempt="r.0.endpoint-0",
            target="small-model",
            chosen="endpoint-0",
        ),
        line(
            "entry-0",
            time,
            "attempt-routed",
            attempt="question-9.0.endpoint-1",
            target="small-model",
            chosen="endpoint-1",
        ),
        line(
            "entry-0",
            time,
            "request-ended",
            **{"class": "question"},
            request="question-9",
            reason="overloaded",
        ),
    ]


CHANGES = {
    "a question is refused while a dossier runs": [
        at_endpoint(*running_dossier(), REFUSED)
    ],
    "a question is refused during a protected quantum": [
        at_endpoint(*running_dossier(floor_s=5), REFUSED)
    ],
    "a question is refused as dossiers fill the queue": [
        at_endpoint(
            placed(30, "dossier-7"),
            placed(30, "dossier-8"),
            REFUSED,
            ended(33, "dossier-7"),
            ended(33, "dossier-8"),
        )
    ],
    "a question is refused fleet-wide as a dossier runs": [
        at_endpoint(*running_dossier()),
        at_entry(*fleet_refusal(32)),
    ],
    "a question is refused as a dossier starts": [
        at_endpoint(*running_dossier()),
        at_entry(*fleet_refusal(30.2)),
    ],
    "a question expires while a dossier runs": [
        at_endpoint(*running_dossier(), *EXPIRED)
    ],
    "a question is shed": [
        at_endpoint(placed(31, "question-9"), scheduled(31, "question-9", "shed"))
    ],
    "a question is paused for a dossier": [
        at_endpoint(
            placed(30, "question-9"),
            scheduled(30, "question-9", "start"),
            placed(31, "dossier-8"),
            scheduled(31, "question-9", "pause"),
            scheduled(31, "dossier-8", "start"),
            ended(32, "dossier-8"),
            ended(33, "question-9"),
        )
    ],
    "a dossier waits for longer than the bound": [
        at_endpoint(placed(30, "dossier-9"), scheduled(51, "dossier-9", "start"))
    ],
    "a dossier stays paused until the log ends": [
        at_endpoint(
            placed(30, "dossier-9"),
            scheduled(30, "dossier-9", "start"),
            placed(31, "question-8"),
            scheduled(31, "dossier-9", "pause"),
            scheduled(31, "question-8", "start"),
            ended(32, "question-8"),
        )
    ],
    "an answer belongs to another request": [add_request(request("mark-9", "wrong"))],
    "an answer is cut": [add_request(request("mark-9", "cut"))],
    "an answer is cut by a graceful endpoint shutdown": [
        lambda context: cut_by_endpoint(context, outcome="unknown", is_graceful=True)
    ],
    "an answer is cut, not reported, by a killed endpoint": [
        lambda context: cut_by_endpoint(context, outcome="", is_graceful=False)
    ],
    "an answer is cut, and reported, by a killed endpoint": [
        lambda context: cut_by_endpoint(context, outcome="unknown", is_graceful=False)
    ],
    "a request ran although reported not-run": [
        add_request(request("mark-9", "refused", not_run_answers=1), "engine-0")
    ],
    "a non-repeatable request ran twice": [
        add_request(request("mark-9", is_repeatable=False), "service-0", "service-1")
    ],
    "an entry routes an attempt to a leaving endpoint": [
        at_endpoint(LEAVING),
        at_entry(routed(44)),
    ],
    "a leaving endpoint accepts an attempt": [
        at_endpoint(LEAVING, placed(44, "dossier-9"), ended(45, "dossier-9"))
    ],
    "a shutdown leaves an answer unfinished": [
        at_entry(line("entry-0", 59, "drain-ended", left=1))
    ],
    "a process reverts to a lower revision": [revert_revision],
    "a process does not accept a newer revision": [
        at_endpoint(line("endpoint-0", 40, "revision-accepted", index=3))
    ],
    "a process accepts a revision late after an outage": [
        lambda context: accept_late(context, 36)
    ],
    "a process accepts a revision soon after an outage": [
        lambda context: accept_late(context, 46)
    ],
    "a process settles with an older revision": [
        lambda context: add_events(
            context,
            "entry-1",
            *start_events("entry-1", 40, 1),
            line("entry-1", 41, "revision-accepted", index=2),
        )
    ],
    "a question is refused while no dossier is pausable": [
        at_endpoint(*running_dossier(pausable=False), REFUSED)
    ],
    "a question expires during a protected quantum": [
        at_endpoint(*running_dossier(floor_s=6), *EXPIRED)
    ],
    "an answer is cut by a killed entry process": [
        add_request(request("mark-9", "cut")),
        lambda context: context.history.outages.append(
            Outage(process="entry-0", url=ENTRY_URL, start=14, end=20)
        ),
    ],
    "an entry routes soon after the leave notice": [
        at_endpoint(LEAVING),
        at_entry(routed(42)),
    ],
    "an endpoint restarts after leaving": [
        at_endpoint(LEAVING, *start_events("endpoint-0", 42, 2)),
        at_entry(routed(44)),
    ],
}


@given("the history shows that {what}")
def apply_changes(context, what):
    for change in CHANGES[what]:
        change(context)


@when("it is checked")
def check(context):
    context.breaches = check_history(context.history, LIMITS)


@then("no breach is reported")
def check_no_breach(context):
    assert not context.breaches, [str(one) for one in context.breaches]


@then('a breach of "{guarantee}" by "{subject}" is the only one reported')
def check_only_breach(context, guarantee, subject):
    reported = [
        (one.guarantee, one.subject.partition(" ")[0]) for one in context.breaches
    ]
    assert reported == [(Guarantee[guarantee], subject)], [
        str(o) for o in context.breaches
    ]


def log_text(lines):
    """Return the log text that a process writes for events."""
    return "".join(
        json.dumps(
            one.fields
            | {
                "time": datetime.fromtimestamp(one.time, UTC).isoformat(),
                "name": one.name,
            }
        )
        + "\n"
        for one in lines
    )


@given("a directory with a history in which an answer is cut")
def write_history(context):
    make_history_without_breaches(context)
    apply_changes(context, "an answer is cut")
    write_lines(context.directory / "run.records.jsonl", context.history.requests)
    write_lines(context.directory / "run.runs.jsonl", context.history.runs)
    for process, lines in context.history.logs.items():
        (context.directory / f"{process}.log").write_text(log_text(lines))


@when('"report --check" is run on it')
def run_command(context):
    command = [sys.executable, "-m", "zinniaramp.commands", "report", "--check"]
    context.finished = subprocess.run(
        [*command, str(context.directory)], capture_output=True, text=True, check=False
    )


@then("it exits with 1 and prints the breach")
def check_command(context):
    assert context.finished.returncode == 1, context.finished
    assert "mark-9" in context.finished.stdout, context.finished
