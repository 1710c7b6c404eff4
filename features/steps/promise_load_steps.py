"""Steps about what holds under load that fills a fleet."""

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
from zinniaramp.load.saving import request_records, run_records
from zinniaramp.scheduling.floor import floor_wait_bound
from zinniaramp.standins.fleet import FleetOptions, bring_up

PROMISES = Path(__file__).resolve().parents[1] / "promises"

URGENT_CLASS = "question"


WIDTH = 4
"""Slots of the engine that the floor's bound is worked out for."""


@given('a loopback fleet of {count:d} engines with {width:d} slots that runs "{name}"')
def fleet_of_engines(context, count, width, name):
    files = PROMISES / name
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
    "the bound on waits that a floor of {floor:g} sets if slots are released "
    "every {release_s:g} s"
)
def bound_waits(context, floor, release_s):
    declared = context.declarations.classes["dossier"].floor
    assert (declared or context.declarations.defaults.floor) == floor
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


def set_slow(url, factor):
    """Put a factor on an engine's times."""
    body = json.dumps({"slow": factor}).encode()
    urllib.request.urlopen(f"{url}/standin/faults", body).close()


def keep_history(context, records):
    """Read what the run left."""
    processes = [one for one in context.fleet if one.settings]
    context.history = History(
        requests=request_records(records, context.declarations),
        runs=run_records(read_executions(urls(context, "engine"))),
        logs={one.name: read_log(Path(one.log)) for one in processes},
    )


async def run_plan(context):
    """Run the plan against the fleet."""
    return await run_load(
        context.plan,
        urls=urls(context, "entry"),
        seed=1,
        clock=monotonic_clock(),
        progress=lambda *_: None,
    )


async def run_plan_with_slow_engine(context, factor, start_s, end_s):
    """Run the plan and slow the first engine meanwhile."""
    engine, loop = urls(context, "engine")[0], asyncio.get_running_loop()
    loop.call_later(start_s, set_slow, engine, factor)
    loop.call_later(end_s, set_slow, engine, 1)
    return await run_plan(context)


@when(
    "its plan is run while one engine is slowed by {factor:d} "
    "from second {start_s:d} to second {end_s:d}"
)
def run_with_slow_engine(context, factor, start_s, end_s):
    running = run_plan_with_slow_engine(context, factor, start_s, end_s)
    keep_history(context, asyncio.run(running))


@when("its plan is run")
def run_steadily(context):
    keep_history(context, asyncio.run(run_plan(context)))


def decisions(context):
    """Count the endpoints' decisions by class."""
    return Counter(
        (line.get("class"), line.get("decision"))
        for lines in context.history.logs.values()
        for line in lines
        if line.name in ("attempt-placed", "attempt-scheduled")
    )


@then("the checker names no breach in its history")
def check_no_breach(context):
    limits = getattr(context, "limits", Limits())
    breaches = check_history(context.history, limits)
    named = [str(one) for one in breaches]
    assert not breaches, (len(named), named[:5], decisions(context))


@then("questions were refused and dossiers were paused")
def check_pressure(context):
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
    begun = lines[0].time
    arrived, started = Counter(), Counter()
    for line in lines:
        second = int(line.time - begun)
        arrived[second] += line.name == "attempt-placed"
        started[second] += line.get("decision") == "start"
    seconds = range(first, last + 1)
    assert all(arrived[one] > started[one] for one in seconds), (arrived, started)


@then("every dossier was admitted, was paused and came whole")
def check_dossiers(context):
    counts = decisions(context)
    fates = [
        one.fate for one in context.history.requests if one.class_name == "dossier"
    ]
    assert fates == ["whole"] * counts["dossier", "accept"], (fates, counts)
    assert counts["dossier", "pause"] >= counts["dossier", "accept"] > 0, counts
