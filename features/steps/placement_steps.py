"""Steps for the placement of prompts on engines."""

from dataclasses import replace
from datetime import timedelta
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from features.placement.play import (
    KV_CAPACITY_TOKENS,
    SITES,
    START,
    FewestInFlight,
    Gateways,
    share_on_time,
    simulate,
)
from zinniaramp.placement import Demand, EngineCandidate, Placement, PromptSegment
from zinniaramp.placement import core as placement_core
from zinniaramp.placement.pauses import max_consecutive_chunks
from zinniaramp.placement.split import SplitSizer

SEEDS = (1, 2, 3)
CHUNK_LIMIT_SEEDS = (1, 2, 3, 4, 5, 6)
SIMULATED_SECONDS = 20
BURST_SECONDS = (4, 8)
PROHIBITIVE_COST = timedelta(days=1)
REQUIRED_SHARE_ON_TIME = 0.95
"""Required share of requests that meet their targets."""
NAMES = [f"engine-{number}" for number in range(5)]
SEGMENT = PromptSegment(name="shared", tokens=13_300)


def candidates(names):
    return [EngineCandidate(name=name, is_remote=False) for name in names]


def demand(tokens, *parts, own="own"):
    """Return the demand of a prompt with some segments and a last one named `own`."""
    own_tokens = tokens - sum(segment.tokens for segment in parts)
    return Demand(
        prompt_tokens=tokens,
        output_limit=100,
        output_estimate=100,
        parts=(*parts, PromptSegment(name=own, tokens=own_tokens)),
    )


def choose(placement, prompt, names=NAMES, now=START):
    choice = placement.choose(
        prompt, candidates(names), kv_capacity_tokens=KV_CAPACITY_TOKENS, now=now
    )
    return choice.engine


def add(placement, key, engine, prompt, now=START):
    placement.add(key, engine, prompt, kv_capacity_tokens=KV_CAPACITY_TOKENS, now=now)


@given("the peak load of {name}")
def given_peak_load(context, name):
    context.site = SITES[name]


@when("it is simulated with shared load events, local load events and request counts")
def simulate_load_sharing(context):
    context.results = []
    for seed in SEEDS:
        placers = (
            Gateways(shares_load_events=True),
            Gateways(shares_load_events=False),
            FewestInFlight(),
        )
        shares = [
            share_on_time(
                simulate(
                    context.site, placer=placer, seconds=SIMULATED_SECONDS, seed=seed
                )
            )
            for placer in placers
        ]
        context.results.append(shares)


@then("in each run shared load events serve 95 in 100 on time, more than the others")
def check_served_on_time(context):
    for shared, local, counted in context.results:
        assert shared >= REQUIRED_SHARE_ON_TIME, context.results
        assert shared > local > counted, context.results


@when("the load changes from long prompts to short ones and back")
def change_load(context):
    sizer, now, context.counts = SplitSizer(), START, []
    for tokens in (17_000, 1_500, 17_000):
        for _ in range(100):
            now += timedelta(milliseconds=80)
            sizer.record(prompt_tokens=tokens, prefill_tokens=tokens, now=now)
        context.counts.append(len(sizer.split(NAMES, now).short))


@then("the number of engines for short prompts rises and falls again")
def check_short_engines(context):
    before, changed, after = context.counts
    assert before == after == 1, context.counts
    assert changed == len(NAMES) - 1, context.counts


@when("engines are removed on either side of the split, down to the last one")
def remove_engines(context):
    context.left = []
    for first in range(len(NAMES)):
        for last in range(first + 1, len(NAMES) + 1):
            context.left.append(NAMES[first:last])


@then("prompts of each size are placed on a remaining engine")
def check_remaining_engines(context):
    placement = Placement()
    for names in context.left:
        placement.keep(names)
        for key, tokens in enumerate((1_500, 9_000, 17_000)):
            engine = choose(placement, demand(tokens), names)
            assert engine in names
            add(placement, (len(names), key), engine, demand(tokens))


@when("several processes receive the same load events in any order")
def receive_same_events(context):
    @settings(max_examples=50)
    @for_any(
        st.lists(
            st.tuples(
                st.sampled_from(NAMES),
                st.integers(0, 5),
                st.sampled_from([1_500, 9_000, 17_000]),
            ),
            max_size=30,
        ),
        st.randoms(use_true_random=False),
    )
    def check(sends, random):
        check_same_choice(sends, random)

    context.check = check


def check_same_choice(sends, random):
    """Check the choices after the same sends, recorded in two different orders."""
    numbered = list(enumerate(sends))
    shuffled = random.sample(numbered, len(numbered))
    processes = []
    for order in (numbered, shuffled):
        process = Placement()
        for number, (engine, prefix, tokens) in order:
            segment = PromptSegment(name=f"part-{prefix}", tokens=1_000)
            add(process, number, engine, demand(tokens, segment, own=f"own-{number}"))
        processes.append(process)
    for prefix in range(6):
        segment = PromptSegment(name=f"part-{prefix}", tokens=1_000)
        for tokens in (1_500, 9_000, 17_000):
            prompt = demand(tokens, segment, own="next")
            first, second = (choose(process, prompt) for process in processes)
            assert first == second, (sends, prefix, tokens)


@then("they choose the same engine for each prompt")
def check_same_engine(context):
    context.check()


@given("an engine that has cached a prompt segment of {tokens:d} tokens")
def given_cached_segment(context, tokens):
    context.placement = Placement()
    context.caching_engine = choose(context.placement, demand(17_000, SEGMENT))
    add(context.placement, "first", context.caching_engine, demand(17_000, SEGMENT))
    context.placement.record_first_event("first", START)
    context.placement.remove("first")


@given("an engine that reports a cached prompt segment of {tokens:d} tokens")
def given_reported_segment(context, tokens):
    context.placement = Placement()
    (context.caching_engine,) = [choose(context.placement, demand(17_000, SEGMENT))]
    context.placement.record_cached(
        context.caching_engine, [SEGMENT], kv_capacity_tokens=KV_CAPACITY_TOKENS
    )


def choose_with_backlog(context, tokens):
    """Return the engine of a prompt while the caching engine has a backlog."""
    add(
        context.placement,
        "backlog",
        context.caching_engine,
        demand(tokens, own=f"backlog-{tokens}"),
    )
    chosen = choose(context.placement, demand(17_000, SEGMENT, own="next"))
    context.placement.remove("backlog")
    return chosen


@then("a prompt with the segment is placed there below a backlog of {tokens:d} tokens")
def check_below_backlog(context, tokens):
    assert choose_with_backlog(context, tokens - 1) == context.caching_engine


@then("elsewhere above a backlog of {tokens:d} tokens")
def check_above_backlog(context, tokens):
    assert choose_with_backlog(context, tokens + 1) != context.caching_engine


@when("short prompts arrive in a burst of {factor:d} times their rate")
def simulate_short_burst(context, factor):
    name = next(name for name, kind in context.site.kinds.items() if not kind.priority)
    site = replace(context.site, bursts=((name, factor, *BURST_SECONDS),))
    context.shares = [share_on_time_in_burst(site)]
    with (
        mock.patch.object(placement_core, "SHORT_ON_LONG_PENALTY", PROHIBITIVE_COST),
        mock.patch.object(placement_core, "LONG_ON_SHORT_PENALTY", PROHIBITIVE_COST),
    ):
        context.shares.append(share_on_time_in_burst(site))


def share_on_time_in_burst(site):
    """Return the mean share of requests on time over some seeds."""
    shares = [
        share_on_time(
            simulate(
                site, placer=Gateways(shares_load_events=True), seconds=12, seed=seed
            )
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


@then("more requests are on time than without overflow between the sides")
def check_overflow(context):
    assert context.shares[0] > context.shares[1], context.shares


@when("it is simulated with and without the limit on consecutive prefill chunks")
def simulate_chunk_limit(context):
    variants = (True, False)
    context.late, context.shares = [], []
    for has_chunk_limit in variants:
        late = share = 0
        for seed in CHUNK_LIMIT_SEEDS:
            placer = Gateways(shares_load_events=True, has_chunk_limit=has_chunk_limit)
            requests = simulate(
                context.site, placer=placer, seconds=SIMULATED_SECONDS, seed=seed
            )
            late += sum(one.longest_gap_ms > one.kind.gap_ms for one in requests)
            share += share_on_time(requests)
        context.late.append(late)
        context.shares.append(share)


@then("with the limit fewer streams exceed their gap targets, and no fewer are on time")
def check_chunk_limit(context):
    assert context.late[0] < context.late[1], context.late
    assert context.shares[0] >= context.shares[1], context.shares


@when("{count:d} streams with a limit of {chunks:d} consecutive chunks run there")
def run_streams(context, count, chunks):
    prompt = demand(1_500, own="short")
    prompt = replace(prompt, max_consecutive_chunks=chunks)
    for number in range(count):
        add(context.placement, f"short-{number}", context.caching_engine, prompt)
        context.placement.record_first_event(f"short-{number}", START)


@then("a prompt with the segment and {tokens:d} tokens of its own is placed {where}")
def check_placed(context, tokens, where):
    prompt = demand(SEGMENT.tokens + tokens, SEGMENT, own=f"own-{tokens}")
    is_there = choose(context.placement, prompt) == context.caching_engine
    assert is_there == (where == "there")


@given("streams with {tokens:d} tokens in each event and a gap target of {pause:d} ms")
def given_gap_target(context, tokens, pause):
    context.limit = max_consecutive_chunks(timedelta(milliseconds=pause), tokens)


@then("{chunks} chunks may run consecutively while they are decoded")
def check_limit(context, chunks):
    assert context.limit == (None if chunks == "any" else int(chunks))
