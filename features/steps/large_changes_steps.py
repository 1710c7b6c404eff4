"""Steps for the simulation of large changes over narrow links."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.freshness.links import LinkLoad, play

SMALL_CHANGES = tuple(7 + 0.5 * number + 0.03 for number in range(20))
"""Seconds at which the entry of an endpoint changes."""

MAX_COPIES = 1.3
"""Bytes received for each large configuration, in copies; the rest are load events,
heartbeats and entries, and what was on its way of an answer that was ended."""


@given("{gateways:d} gateways of which {wide:d} have wide links")
def make_load(context, gateways, wide):
    context.load = LinkLoad(gateways=gateways, wide=wide, small=SMALL_CHANGES)


@given("{count:d} of them are cut off from the store")
def cut_off(context, count):
    context.load.cut_off = count


@given("the last bytes of large answers to watches are lost")
def break_watches(context):
    context.load.breaks_watches = True


@given("large configurations at seconds {times}")
def publish_large(context, times):
    context.load.large = tuple(float(time) for time in times.split(","))


@given(
    "each gateway waits for the read barrier each 0.1 s from second {first:g} to "
    "{last:g}"
)
def wait_for_barriers(context, first, last):
    count = round((last - first) * 10)
    context.load.barriers = tuple(first + 0.1 * number for number in range(count))


@when("the links are played with {count:d} seeds")
def play_seeds(context, count):
    seeds = range(1, count + 1)
    context.reports = [play(replace(context.load, seed=seed)) for seed in seeds]


@then(
    "every gateway has each configuration within {seconds:g} s after the time of one "
    "copy"
)
def check_large(context, seconds):
    for seed, report in enumerate(context.reports, start=1):
        for at in context.load.large:
            pairs = zip(report.delays[at], report.copy_seconds, strict=True)
            late = [delay - copy for delay, copy in pairs]
            assert max(late) <= seconds, (seed, at, report.delays[at])


@then("every gateway receives each configuration once")
def check_copies(context):
    limit = MAX_COPIES * len(context.load.large)
    for seed, report in enumerate(context.reports, start=1):
        assert max(report.copies) <= limit, (seed, report.copies)


@then("every gateway has each entry within {seconds:g} s")
def check_small(context, seconds):
    for seed, report in enumerate(context.reports, start=1):
        for at in context.load.small:
            delays = report.delays[at]
            assert max(delays) <= seconds, (seed, at, delays)


@then("every wait ends with all endpoints known")
def check_barriers(context):
    for seed, report in enumerate(context.reports, start=1):
        waits = len(context.load.barriers) * context.load.gateways
        assert len(report.barriers) == waits, (seed, len(report.barriers), waits)
        assert set(report.barriers) == {(True, True)}, (seed, Counter(report.barriers))
