"""Steps for the simulation of a store whose answers are missing."""

from dataclasses import replace

from behave import given, then, when

from features.freshness.play import Load, play
from features.freshness.random_outages import find_excess

CHANGES = (12.0, 14.04, 14.31, 16.0, 18.0)
SETTLED_SECONDS = 5
"""Time after which the first reads of all gateways are over."""


@given("{gateways:d} simulated gateways, each connected to {peers:d} others")
def make_load(context, gateways, peers):
    context.load = Load(gateways=gateways, peers=peers, changes=CHANGES)


@given(
    "the store leaves the watches of {count:d} gateways from second {start:g} "
    "to {end:g} unanswered"
)
def leave_unanswered(context, count, start, end):
    context.load.unanswered = count
    context.load.unanswered_from, context.load.unanswered_to = start, end


@given("the store is never away")
def never_away(context):
    pass


@given("the store is {kind} from second {start:g} to {end:g}")
def away(context, kind, start, end):
    context.load.refuses = kind == "refusing"
    context.load.away_from, context.load.away_to = start, end


@given("packets take {milliseconds:d} ms each way")
def set_latency(context, milliseconds):
    context.load.peer_latency = milliseconds / 1000
    context.load.store_latency = 2 * context.load.peer_latency


@given(
    "the store is silent from second {start:g} to {end:g}, and has a change "
    "{before:g} s before"
)
def silent_after_change(context, start, end, before):
    away(context, "silent", start, end)
    context.load.changes = (start - before, *CHANGES)


@when("the load is played with {count:d} seeds")
def play_seeds(context, count):
    seeds = range(1, count + 1)
    context.reports = [play(replace(context.load, seed=seed)) for seed in seeds]


@when("the load is played with 1 seed and no changes")
def play_calm(context):
    context.reports = [play(replace(context.load, changes=()))]


@then(
    "every gateway has each change within {seconds:g} s, or {after:g} s after the "
    "store's return"
)
def check_delays(context, seconds, after):
    for seed, report in enumerate(context.reports, start=1):
        assert list(report.delays) == list(context.load.changes)
        for at, delays in report.delays.items():
            limit = max(at + seconds, context.load.away_to + after)
            assert at + max(delays) <= limit, (seed, at, delays)


@when("{count:d} random loads with outages are played over packets of {ms:d} ms")
def play_random(context, count, ms):
    context.excesses = {seed: find_excess(seed, ms / 1000) for seed in range(count)}


@then("none of them has a change that is known too late")
def check_excesses(context):
    late = {seed: excess for seed, excess in context.excesses.items() if excess > 0}
    assert not late, late


@then("the store gets at most {count:d} calls per second")
def check_calls(context, count):
    (report,) = context.reports
    rate = report.calls_per_second(SETTLED_SECONDS, context.load.seconds)
    assert rate <= count, rate
