"""Steps for the simulation of streams that callers resume."""

from behave import given, then, when

from features.resumption.play import (
    Load,
    add_engines,
    change_store,
    crash_engines,
    cut_callers,
    hold_gateway,
    isolate_gateway,
    kill_gateways,
    partition_gateways,
    play,
    remove_engines,
    repeat,
    replace_engines,
    take_store_away,
    write_entries,
)
from features.resumption.world import SimulatedStore

ONE_VERSION = ("v1",) * 6
THREE_VERSIONS = ("v1", "v1", "v1.1", "v1.1", "v1.2", "v1.2")
ALL = 99

NEARLY_ALL = 0.9
"""Share that goes on although gateways are killed before they have told the others of a
stream, or before they are connected to them."""

CUTS = repeat(cut_callers(0.5), 2, 1, 13)
KILLS_OF_ALL = repeat(kill_gateways(ALL), 4, 1, 13)


def lose_history(change):
    """Return a rollout after which the store changes and all gateways are killed."""
    return (
        (3, replace_engines("v1.1", 6)),
        (5.1, change_store(change)),
        (5.2, kill_gateways(ALL)),
    )


NEW_VERSION_FOR_A_MOMENT = (
    (13.2, add_engines("v1.1", 6)),
    (15, remove_engines("v1.1")),
)


def out_of_step(fault, *changes):
    """Return a load in which a fault of one gateway at 13 s hides changes from it.

    The store is busy, and callers' streams break off again and again.
    """
    return {
        "versions": ONE_VERSION,
        "seconds": 24.0,
        "faults": (
            (12, write_entries(12)),
            (13, fault),
            *changes,
            *repeat(cut_callers(0.5), 0.3, 13.4, 23),
        ),
    }


LOADS = {
    "callers' connections are cut": {"faults": CUTS},
    "callers name the attempt before": {
        "faults": CUTS,
        "names_origin": lambda _first, before: before,
    },
    "three versions serve and connections are cut": {
        "versions": THREE_VERSIONS,
        "faults": CUTS,
    },
    "one version serves and connections are cut": {
        "versions": ONE_VERSION,
        "faults": CUTS,
    },
    "one gateway is killed at a time": {"faults": repeat(kill_gateways(1), 2, 1, 13)},
    "one of five gateways restarts again and again": {
        "faults": repeat(kill_gateways(1, 0.4), 0.8, 1, 13)
    },
    "the store is away and connections are cut": {
        "faults": ((2, take_store_away(6)), *CUTS)
    },
    "engines crash": {"faults": repeat(crash_engines(2), 2, 1, 13)},
    "one version serves and all gateways are killed": {
        "versions": ONE_VERSION,
        "faults": KILLS_OF_ALL,
    },
    "two versions serve and all gateways are killed": {"faults": KILLS_OF_ALL},
    "gateways are cut off from each other": {
        "faults": ((2, partition_gateways(8)), *CUTS)
    },
    "callers don't name the attempt": {
        "faults": CUTS,
        "names_origin": lambda _first, _before: None,
    },
    "callers name an attempt that nobody knows": {
        "faults": CUTS,
        "names_origin": lambda _first, _before: "unknown",
    },
    "an old version leaves before all are killed": {
        "faults": ((3, replace_engines("v1.1", 6)), (5.2, kill_gateways(ALL)))
    },
    "an old version leaves while all are killed": {
        "faults": ((3.5, replace_engines("v1.1", 6)), (5.2, kill_gateways(ALL)))
    },
    "history is lost after an old version has left": {
        "faults": lose_history(SimulatedStore.drop_history)
    },
    "a restore follows an old version that has left": {
        "faults": lose_history(SimulatedStore.restore)
    },
    "a gateway is cut off while a new version appears": {
        "versions": ONE_VERSION,
        "seconds": 24.0,
        "faults": (
            (13, isolate_gateway(8)),
            (14, replace_engines("v1.1", 3)),
            *repeat(cut_callers(0.5), 1, 13.5, 23),
        ),
    },
    "a gateway stands still while a new version appears": out_of_step(
        hold_gateway(4),
        (13.2, replace_engines("v1.1", 3)),
        (13.3, kill_gateways(1)),
    ),
    "a new version comes and goes while a gateway stands still": out_of_step(
        hold_gateway(4), *NEW_VERSION_FOR_A_MOMENT
    ),
    "a new version comes and goes while a gateway is cut off": out_of_step(
        isolate_gateway(4), *NEW_VERSION_FOR_A_MOMENT
    ),
    "a new version comes and goes, and the history is dropped": out_of_step(
        isolate_gateway(4),
        *NEW_VERSION_FOR_A_MOMENT,
        (15.1, change_store(SimulatedStore.drop_history)),
    ),
    "versions go forth and back": {
        "versions": ONE_VERSION,
        "faults": (
            (2, replace_engines("v1.1", 3)),
            (6, replace_engines("v1", 3)),
            (10, replace_engines("v1.1", 3)),
            *CUTS,
        ),
    },
}
"""Loads by what happens in them."""


@given("simulated engines that {lists} their cached segments")
def choose_engines(context, lists):
    context.lists_segments = lists == "list"


def make_step(what):
    """Declare the step that chooses a load."""

    @given(what)
    def choose_load(context):
        context.load = Load(lists_segments=context.lists_segments, **LOADS[what])


for load_name in LOADS:
    make_step(load_name)


@when("the streams are played with {count:d} seed")
@when("the streams are played with {count:d} seeds")
def play_streams(context, count):
    context.reports = [play(context.load, seed) for seed in range(1, count + 1)]


@then("no stream has events of two software versions")
def check_not_joined(context):
    for report in context.reports:
        assert report.begun, report
        assert report.joined == 0, report


@then("all of the resumed streams go on")
def check_all_go_on(context):
    assert any(report.resumed for report in context.reports), context.reports
    for report in context.reports:
        assert not report.refused, report


@then("nearly all of the resumed streams go on")
def check_nearly_all_go_on(context):
    for report in context.reports:
        assert report.resumed, report
        assert report.share >= NEARLY_ALL, report


@then("none of the resumed streams go on")
def check_none_goes_on(context):
    for report in context.reports:
        assert report.refused, report
        assert not report.resumed, report


@then("those that can of the resumed streams go on")
def check_possible_go_on(context):
    for report in context.reports:
        assert report.resumed, report
        assert not report.lost, report
