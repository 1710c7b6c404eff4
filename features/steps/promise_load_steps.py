"""Steps for guarantees that hold while the load exceeds a fleet's capacity."""

import asyncio
import json
import urllib.request
from collections import Counter
from pathlib import Path

from behave import given, then, when

from zinniaramp.clock import monotonic_clock
from zinniaramp.contracts import RevisionId
from zinniaramp.declarations import read_declarations
from zinniaramp.history import History, Limits, check_history, read_log
from zinniaramp.load import read_plan, run_load
from zinniaramp.load.executions import read_executions
from zinniaramp.load.saving import make_execution_records, make_request_records
from zinniaramp.scheduling.floor import floor_wait_bound
from zinniaramp.standins.fleet import FleetOptions, bring_up

PLANS_DIRECTORY = Path(__file__).resolve().parents[1] / "promises"
"""Directory with a plan and declarations for each loopback fleet."""

URGENT_CLASS = "question"

WIDTH = 4
"""Slots of the engine for which the maximum wait is computed."""


@given(
    'a loopback fleet of {count:d} engines with {width:d} slots for the plan "{name}"'
)
def start_fleet_of_engines(context, count, width, name):
    files = PLANS_DIRECTORY / name
    text = (files / "declarations.ini").read_text()
    revision = RevisionId(index=1, digest="")
    context.declarations = read_declarations(
        text, file=name, revision=revision
    ).unwrap()
    context.plan = read_plan(files / "plan.ini").unwrap()
    options = FleetOptions(width=width)
    context.fleet = bring_up(
        context.directory, endpoints=count, example=str(files), options=options
    )


@given(
    "the maximum wait for a floor of {floor:g} if a slot is released "
    "every {release_s:g} s"
)
def set_maximum_wait(context, floor, release_s):
    class_floor = context.declarations.classes["dossier"].floor
    assert (class_floor or context.declarations.defaults.floor) == floor
    bound_s = floor_wait_bound(
        floor=floor,
        floor_sum=floor,
        width=WIDTH,
        classes=1,
        release_interval_s=release_s,
    )
    context.limits = Limits(progress_s=bound_s)


def urls(context, role):
    """Return the URLs of a role's processes."""
    return [one.url for one in context.fleet if one.role == role]


def set_slow_factor(url, factor):
    """Set the factor on an engine's times."""
    body = json.dumps({"slow": factor}).encode()
    urllib.request.urlopen(f"{url}/standin/faults", body).close()


def read_run_history(context, records):
    """Build the history of a run from its records, executions and logs."""
    processes = [one for one in context.fleet if one.settings]
    context.history = History(
        requests=make_request_records(records, context.declarations),
        runs=make_execution_records(read_executions(urls(context, "engine"))),
        logs={one.name: read_log(Path(one.log)) for one in processes},
    )


async def run_plan(context):
    """Run the plan against the fleet and return the records of its requests."""
    return await run_load(
        context.plan,
        urls=urls(context, "entry"),
        seed=1,
        clock=monotonic_clock(),
        progress=lambda *_: None,
    )


async def run_plan_with_slow_engine(context, factor, start_s, end_s):
    """Run the plan with a slow first engine between two times."""
    engine, loop = urls(context, "engine")[0], asyncio.get_running_loop()
    loop.call_later(start_s, set_slow_factor, engine, factor)
    loop.call_later(end_s, set_slow_factor, engine, 1)
    return await run_plan(context)


@when(
    "its plan is run while one engine is slowed by {factor:d} "
    "from second {start_s:d} to second {end_s:d}"
)
def run_with_slow_engine(context, factor, start_s, end_s):
    running = run_plan_with_slow_engine(context, factor, start_s, end_s)
    read_run_history(context, asyncio.run(running))


@when("its plan is run")
def run_without_faults(context):
    read_run_history(context, asyncio.run(run_plan(context)))


def decisions(context):
    """Count the logged decisions of the endpoints by class and decision."""
    return Counter(
        (line.get("class"), line.get("decision"))
        for lines in context.history.logs.values()
        for line in lines
        if line.name in ("attempt-placed", "attempt-scheduled")
    )


@then("the history checker finds no violation")
def check_no_violation(context):
    limits = getattr(context, "limits", Limits())
    violations = check_history(context.history, limits)
    messages = [str(one) for one in violations]
    assert not violations, (len(messages), messages[:5], decisions(context))


@then("questions were refused and dossiers were paused")
def check_refused_and_paused(context):
    counts = decisions(context)
    assert counts[URGENT_CLASS, "refuse"] > 0, counts
    assert counts["dossier", "pause"] > 0, counts


@then("no question was paused")
def check_no_pause(context):
    counts = decisions(context)
    assert counts[URGENT_CLASS, "pause"] == 0, counts


@then(
    "more questions arrived than started in each of the seconds {first:d} to {last:d}"
)
def check_overload(context, first, last):
    log = context.history.logs["endpoint-0"]
    lines = [line for line in log if line.get("class") == URGENT_CLASS]
    first_time = lines[0].time
    arrived, started = Counter(), Counter()
    for line in lines:
        second = int(line.time - first_time)
        arrived[second] += line.name == "attempt-placed"
        started[second] += line.get("decision") == "start"
    seconds = range(first, last + 1)
    assert all(arrived[one] > started[one] for one in seconds), (arrived, started)


@then("every dossier was admitted, paused and answered completely")
def check_dossiers(context):
    counts = decisions(context)
    fates = [
        one.fate for one in context.history.requests if one.class_name == "dossier"
    ]
    assert fates == ["whole"] * counts["dossier", "accept"], (fates, counts)
    assert counts["dossier", "pause"] >= counts["dossier", "accept"] > 0, counts
