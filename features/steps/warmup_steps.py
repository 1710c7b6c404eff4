"""Steps for simulated gateways and a cold endpoint, without a network."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta
from itertools import permutations

from behave import given, then, when

from features.warmup import evacuation_play
from features.warmup.play import (
    UNDISTURBED_SECONDS,
    Load,
    Play,
    most_in_a_second,
)
from zinniaramp.platform.documents import decode_item
from zinniaramp.registry import Item, Registry, Snapshot, StoreRevision
from zinniaramp.warmup import ColdBounds, WarmUps

NAME = "e-1@1"
DISTURBANCES = {
    "no disturbance": {},
    "random groups": {"groups": 3, "is_random": True},
    "restarts": {"restarts": True},
    "freezes": {"freezes": True},
    "two groups": {"groups": 2},
    "three groups": {"groups": 3},
    "all restarted": {"restarts_all": True},
}


@given(
    "{gateways:d} simulated gateways and a cold endpoint that bears {rate:g} requests "
    "a second"
)
def make_load(context, gateways, rate):
    context.load = Load(gateways=gateways, rate=rate)


@given("the bounds {overshoot:g} and {slack:g}")
def set_bounds(context, overshoot, slack):
    context.load.bounds = ColdBounds(overshoot=overshoot, slack=slack)


def disturb(context, text):
    for name in text.split(", "):
        for field, value in DISTURBANCES[name].items():
            setattr(context.load, field, value)


@given("no disturbance")
def no_disturbance(context):
    pass


@given("random groups")
def random_groups(context):
    disturb(context, "random groups")


@given("restarts")
def restarts(context):
    disturb(context, "restarts")


@given("freezes")
def freezes(context):
    disturb(context, "freezes")


@given("random groups, restarts, freezes")
def all_disturbances(context):
    disturb(context, "random groups, restarts, freezes")


@given("{groups} groups, all restarted")
def all_restarted(context, groups):
    disturb(context, f"{groups} groups, all restarted")


@when("30 s are played with {count:d} seeds")
def play_seeds(context, count):
    context.arrivals = [
        Play(replace(context.load, seed=seed)).run() for seed in range(1, count + 1)
    ]


@then("no second has more requests than the bounds allow")
def check_bound(context):
    bounds, rate = context.load.bounds, context.load.rate
    limit = rate * bounds.overshoot + bounds.slack
    most = [most_in_a_second(times) for times in context.arrivals]
    assert max(most) <= limit, (most, limit)
    assert all(context.arrivals)


@then("between {least:g} and {most:g} of its rate are used")
def check_use(context, least, most):
    seconds = context.load.seconds - UNDISTURBED_SECONDS
    for times in context.arrivals:
        used = sum(at >= UNDISTURBED_SECONDS for at in times) / seconds
        assert least <= used / context.load.rate <= most, used


@then("the endpoint gets nothing")
def check_nothing(context):
    assert context.arrivals == [[]]


def start_clock(context):
    context.now = datetime(2026, 1, 1, tzinfo=UTC)
    context.warm_ups = WarmUps(clock=lambda: context.now)


def record_entry(context, milliseconds, *, is_first_read):
    remaining = timedelta(milliseconds=milliseconds)
    context.warm_ups.record_entry(NAME, remaining, is_first_read=is_first_read)


@given("an endpoint that is listed in the first read, removed and listed again")
def listed_again(context):
    start_clock(context)
    record_entry(context, 0, is_first_read=True)
    context.warm_ups.keep(())
    context.now += timedelta(seconds=20)
    record_entry(context, 0, is_first_read=False)


@then("it is warm, and its next start is cold for the usual time")
def check_warm(context):
    usual = timedelta(seconds=3)
    warm_ups = context.warm_ups
    assert not warm_ups.time_left(NAME, usual)
    warm_ups.record_entry("e-1@2", timedelta(), is_first_read=False)
    assert warm_ups.time_left("e-1@2", usual) == usual


@given("an endpoint that is listed during traffic with an entry of {entry:d} ms")
def listed_during_traffic(context, entry):
    start_clock(context)
    record_entry(context, entry, is_first_read=False)


@given("an endpoint that is listed in the first read with an entry of {entry:d} ms")
def listed_first(context, entry):
    start_clock(context)
    record_entry(context, entry, is_first_read=True)


@given("an answer that reports {answer:d} ms")
def report_cold(context, answer):
    context.warm_ups.record_report(NAME, timedelta(milliseconds=answer))


@when("the evacuation of its data centre ends")
def end_evacuation(context):
    context.warm_ups.record_revoked(NAME)


@then("it is cold for {time:d} ms if {usual:d} ms are usual")
def check_time(context, time, usual):
    left = context.warm_ups.time_left(NAME, timedelta(milliseconds=usual))
    assert left == timedelta(milliseconds=time), left


@given("{gateways:d} simulated gateways, each in contact with {peers:d} neighbours")
def in_contact(context, gateways, peers):
    # A gateway connects to half of them, and the others connect to it.
    context.fleet = {"gateways": gateways, "peers": max(1, peers // 2)}


@when("evacuations are played with {count:d} seeds")
def play_evacuations(context, count):
    seeds = range(1, count + 1)
    context.delays = [evacuation_play.play(seed=one, **context.fleet) for one in seeds]


@then("every gateway knows each of them within {seconds:g} s")
def check_evacuations_known(context, seconds):
    for delays in context.delays:
        assert max(map(max, delays)) <= seconds, delays


@then(
    "snapshots of an evacuation, its end and its return in any order agree on the last"
)
def check_any_order(context):
    values = (b"{}", None, b"{}", None)
    snapshots = [
        Snapshot(
            revision=StoreRevision(era=1, number=number),
            items=(Item(key="op/evacuate/b", revision=number, value=value),),
            is_complete=False,
        )
        for number, value in enumerate(values, start=2)
    ]
    first = Snapshot(
        revision=StoreRevision(era=1, number=1), items=(), is_complete=True
    )
    for last in range(1, len(values) + 1):
        for order in permutations(snapshots[:last]):
            registry = Registry(
                decode=decode_item,
                lapse_grace=timedelta(seconds=2),
                entry_lifetime=timedelta(seconds=3),
                clock=lambda: datetime(2026, 1, 1, tzinfo=UTC),
            )
            for snapshot in (first, *order):
                registry.apply(snapshot)
            expected = {"b"} if values[last - 1] else set()
            assert registry.evacuations.data_centers == expected, (last, order)
