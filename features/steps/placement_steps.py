"""Steps for the placement of prompts on engines."""

from dataclasses import replace
from datetime import timedelta
from unittest import mock

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_any
from hypothesis import strategies as st

from features.placement.play import (
    SERVICE,
    SITES,
    START,
    FewestInFlight,
    Gateways,
    drawn_site,
    share_on_time,
    simulate,
)
from zinniaramp.placement import (
    Demand,
    EndpointView,
    EngineLaw,
    EngineTraits,
    Placement,
    PromptSegment,
)
from zinniaramp.placement import core as placement_core
from zinniaramp.placement.law import DEFAULT_LAW
from zinniaramp.placement.learning import LawEstimator
from zinniaramp.placement.split import SplitSizer

SEEDS = (1, 2, 3)
CHUNK_LIMIT_SEEDS = (1, 2, 3, 4, 5, 6)
SIMULATED_SECONDS = 20
BURST_SECONDS = (4, 8)
PROHIBITIVE_SHARE = 1e6
"""Cost of crossing the split, in latency targets, at which nothing crosses it."""

TRAITS = EngineTraits(
    service=SERVICE, kv_capacity_tokens=650_000, slots=64, tokens_per_event=3
)
SHORT_LIMIT_MS, SHORT_TARGET_MS = 137.5, 500.0
LONG_LIMIT_MS, LONG_TARGET_MS = 2000.0, 2000.0
STREAM_TARGET = timedelta(milliseconds=400)
STREAM_GAP_TARGET = timedelta(milliseconds=250)

LEARNING_SECONDS = 24
WARM_UP_MS = 8_000
"""Time in which the law is learned, before requests are counted."""

MAX_LOSS = 0.05
"""Share of the requests on time that not knowing the law may cost."""

LAW_EXAMPLES = 12
"""Number of drawn engines."""
REQUIRED_SHARE_ON_TIME = 0.95
"""Required share of requests that meet their targets."""
NAMES = [f"engine-{number}" for number in range(5)]
SEGMENT = PromptSegment(name="shared", tokens=13_300)


def candidates(names):
    return [EndpointView(name=name, is_remote=False) for name in names]


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
    choice = placement.choose(prompt, candidates(names), traits=TRAITS, now=now)
    return choice.engine


def add(placement, key, engine, prompt, now=START):
    placement.add(key, engine, prompt, traits=TRAITS, now=now)


@given("the peak load of {name}")
def given_peak_load(context, name):
    context.site = SITES[name]


@when("it is simulated with shared load events, local load events and request counts")
def simulate_load_sharing(context):
    context.results = []
    for seed in SEEDS:
        placers = (
            Gateways(traits=context.site.traits),
            Gateways(traits=context.site.traits, shares_load_events=False),
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
    for short_every in (20, 1, 20):
        for number in range(100):
            now += timedelta(milliseconds=80)
            is_short = number % short_every == 0 and number != 1
            record_prompt(sizer, is_short=is_short, now=now)
            if short_every == 1 and number % 50 == 0:
                record_prompt(sizer, is_short=False, now=now)
        context.counts.append(len(sizer.split(NAMES, now).short))


def record_prompt(sizer, *, is_short, now):
    """Record a prompt of 1,500 or of 17,000 tokens with the targets of its kind."""
    work_ms = DEFAULT_LAW.prefill_ms(1_500 if is_short else 17_000)
    sizer.record(
        work_ms=work_ms,
        prompt_ms=work_ms,
        limit_ms=SHORT_LIMIT_MS if is_short else LONG_LIMIT_MS,
        target_ms=SHORT_TARGET_MS if is_short else LONG_TARGET_MS,
        now=now,
    )


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
    context.placement.record_cached(context.caching_engine, [SEGMENT], traits=TRAITS)


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
        mock.patch.object(placement_core, "SHORT_ON_LONG_SHARE", PROHIBITIVE_SHARE),
        mock.patch.object(placement_core, "LONG_ON_SHORT_SHARE", PROHIBITIVE_SHARE),
    ):
        context.shares.append(share_on_time_in_burst(site))


def share_on_time_in_burst(site):
    """Return the mean share of requests on time over some seeds."""
    shares = [
        share_on_time(
            simulate(site, placer=Gateways(traits=site.traits), seconds=12, seed=seed)
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


@then("more requests are on time than without overflow between the sides")
def check_overflow(context):
    assert context.shares[0] > context.shares[1], context.shares


@when("it is simulated with and without the routes' gap targets")
def simulate_gap_targets(context):
    variants = (True, False)
    context.late, context.shares = [], []
    for has_gap_targets in variants:
        late = share = 0
        for seed in CHUNK_LIMIT_SEEDS:
            placer = Gateways(
                traits=context.site.traits, has_gap_targets=has_gap_targets
            )
            requests = simulate(
                context.site, placer=placer, seconds=SIMULATED_SECONDS, seed=seed
            )
            late += sum(one.longest_gap_ms > one.kind.gap_ms for one in requests)
            share += share_on_time(requests)
        context.late.append(late)
        context.shares.append(share)


@then("with them fewer streams exceed their gap targets, and no fewer are on time")
def check_gap_targets(context):
    assert context.late[0] < context.late[1], context.late
    assert context.shares[0] >= context.shares[1], context.shares


@when("{count:d} streams with a gap target of 250 ms run there")
def run_streams(context, count):
    prompt = replace(
        demand(1_500, own="short"),
        target=STREAM_TARGET,
        gap_target=STREAM_GAP_TARGET,
    )
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
    context.gap_ms, context.tokens_per_event = pause, tokens


@then("{limit} ms of prefill may run while they are decoded with {rate:d} tokens a ms")
def check_limit(context, limit, rate):
    law = replace(DEFAULT_LAW, prefill_tokens_per_ms=rate)
    found = law.stall_limit_ms(context.gap_ms, context.tokens_per_event)
    expected = None if limit == "any" else float(limit)
    assert found == expected or abs(found - expected) < 1e-9, found


@when(
    "gateways that don't know the law of the engines serve load on engines of any law"
)
def draw_engines(context):
    laws = st.builds(
        EngineLaw,
        prefill_tokens_per_ms=st.floats(10, 200),
        overhead_ms=st.floats(0, 80),
        decode_ms=st.floats(2, 20),
        decode_ms_per_stream=st.floats(0, 0.2),
        chunk_tokens=st.sampled_from([1024, 2048, 4096, 8192, 16384]),
    )
    sites = st.builds(
        drawn_site,
        law=laws,
        slots=st.integers(8, 256),
        kv_capacity_tokens=st.integers(100_000, 2_000_000),
        tokens_per_event=st.integers(1, 8),
        utilization=st.floats(0.2, 0.6),
    )

    @settings(max_examples=LAW_EXAMPLES, phases=[Phase.generate])
    @for_any(sites)
    def check(site):
        check_learned_law(site)

    context.check = check


def check_learned_law(site):
    """Compare gateways that learn a site's law with others that know it."""
    variants = ({}, {"law": site.law, "is_learning": False})
    shares = []
    for variant in variants:
        placer = Gateways(traits=site.traits, **variant)
        requests = simulate(site, placer=placer, seconds=LEARNING_SECONDS, seed=1)
        shares.append(share_on_time(requests, since_ms=WARM_UP_MS))
    learned, known = shares
    assert learned >= known - MAX_LOSS, (learned, known, site)


@then("they serve as many requests on time as gateways that know it, less 5 in 100")
def check_engines(context):
    context.check()


@when("a tenth of the engines is four times slower than the others")
def observe_slow_engines(context):
    law = replace(DEFAULT_LAW, prefill_tokens_per_ms=20.0)
    context.law = law
    context.placement = Placement()
    now = START
    for number in range(200):
        engine = f"engine-{number % 10}"
        tokens = 2_000 + 500 * (number % 12)
        factor = 4 if engine == "engine-0" else 1
        prompt = demand(tokens, own=f"own-{number}")
        add(context.placement, number, engine, prompt, now)
        wait_ms = factor * law.prefill_ms(tokens) + law.overhead_ms
        now += timedelta(milliseconds=wait_ms)
        context.placement.record_first_event(number, now)
        context.placement.remove(number)
        context.placement.estimator(SERVICE).update(now)
    context.now = now


@then(
    "the estimated rate is that of the others, and only the slow engines count as slow"
)
def check_slow_engines(context):
    placement = context.placement
    estimator = placement.estimator(SERVICE)
    expected = context.law.prefill_tokens_per_ms
    found = estimator.law.prefill_tokens_per_ms
    assert abs(found / expected - 1) < 0.1, found
    slow = {
        name
        for name, model in placement.engines.items()
        if model.current_slowness(context.now) > 1
    }
    assert slow == {"engine-0"}, slow


@when("the first events of requests tell of another law for a second")
def observe_short_disturbance(context):
    context.estimator = LawEstimator(service=SERVICE)
    for number in range(20):
        context.estimator.record_prefill(tokens=500 * number, ms=500 * number)
    context.estimator.update(START)


@then("the law changes by a quarter at most, and the change is logged")
def check_bounded_change(context):
    rate = context.estimator.law.prefill_tokens_per_ms
    assert rate == DEFAULT_LAW.prefill_tokens_per_ms / 1.25, rate
    assert context.estimator.logged == context.estimator.law
