"""Steps about the placement of prompts."""

from dataclasses import replace
from datetime import timedelta
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from features.placement.play import (
    MEMORY_TOKENS,
    SITES,
    START,
    Entries,
    FewestInFlight,
    on_time,
    play,
)
from zinniaramp.placement import Candidate, Demand, Placement, PromptPart
from zinniaramp.placement import core as placement_core
from zinniaramp.placement.pauses import most_chunks
from zinniaramp.placement.split import SplitSizer

SEEDS = (1, 2, 3)
PAUSE_SEEDS = (1, 2, 3, 4, 5, 6)
PLAY_SECONDS = 20
BURST_SECONDS = (4, 8)
NEVER = timedelta(days=1)
ON_TIME = 0.95
"""Share on time that the users' letter asks for."""
NAMES = [f"engine-{number}" for number in range(5)]
PART = PromptPart(name="shared", tokens=13_300)


def candidates(names):
    return [Candidate(name=name, is_far=False) for name in names]


def demand(tokens, *parts, own="own"):
    """Return a prompt of some parts and one of its own."""
    rest = tokens - sum(part.tokens for part in parts)
    return Demand(
        prompt_tokens=tokens,
        output_limit=100,
        output_guess=100,
        parts=(*parts, PromptPart(name=own, tokens=rest)),
    )


def choose(placement, asked, names=NAMES, now=START):
    choice = placement.choose(
        asked, candidates(names), memory_tokens=MEMORY_TOKENS, now=now
    )
    return choice.engine


def add(placement, key, engine, asked, now=START):
    placement.add(key, engine, asked, memory_tokens=MEMORY_TOKENS, now=now)


@given("the heaviest minute of {name}")
def heaviest_minute(context, name):
    context.site = SITES[name]


@when("it is played with entries that tell each other, that do not, and that count")
def played(context):
    context.results = []
    for seed in SEEDS:
        ways = (Entries(is_shared=True), Entries(is_shared=False), FewestInFlight())
        shares = [
            on_time(play(context.site, place=way, seconds=PLAY_SECONDS, seed=seed))
            for way in ways
        ]
        context.results.append(shares)


@then("each play serves 95 in 100 on time with the first, more than with the others")
def serves_on_time(context):
    for shared, alone, counted in context.results:
        assert shared >= ON_TIME, context.results
        assert shared > alone > counted, context.results


@when("the load turns from long prompts to short ones and back")
def load_turns(context):
    sizer, now, context.counts = SplitSizer(), START, []
    for tokens in (17_000, 1_500, 17_000):
        for _ in range(100):
            now += timedelta(milliseconds=80)
            sizer.record(prompt_tokens=tokens, to_read=tokens, now=now)
        context.counts.append(len(sizer.split(NAMES, now).short))


@then("the engines for short prompts grow in number, and shrink again")
def short_side_follows(context):
    before, turned, after = context.counts
    assert before == after == 1, context.counts
    assert turned == len(NAMES) - 1, context.counts


@when("engines are lost on either side of the split, down to the last one")
def engines_lost(context):
    context.left = []
    for first in range(len(NAMES)):
        for last in range(first + 1, len(NAMES) + 1):
            context.left.append(NAMES[first:last])


@then("each kind of prompt is placed on an engine that is left")
def placed_on_what_is_left(context):
    placement = Placement()
    for names in context.left:
        placement.keep(names)
        for key, tokens in enumerate((1_500, 9_000, 17_000)):
            engine = choose(placement, demand(tokens), names)
            assert engine in names
            add(placement, (len(names), key), engine, demand(tokens))


@when("several processes hear the same sends in any order")
def hear_the_same(context):
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
    """Tell two processes the same sends, one of them in another order."""
    numbered = list(enumerate(sends))
    shuffled = random.sample(numbered, len(numbered))
    processes = []
    for order in (numbered, shuffled):
        process = Placement()
        for number, (engine, thing, tokens) in order:
            part = PromptPart(name=f"part-{thing}", tokens=1_000)
            add(process, number, engine, demand(tokens, part, own=f"own-{number}"))
        processes.append(process)
    for thing in range(6):
        part = PromptPart(name=f"part-{thing}", tokens=1_000)
        for tokens in (1_500, 9_000, 17_000):
            asked = demand(tokens, part, own="asked")
            first, second = (choose(process, asked) for process in processes)
            assert first == second, (sends, thing, tokens)


@then("they choose the same engine for each prompt")
def choose_the_same(context):
    context.check()


@given("an engine that holds a part of {tokens:d} tokens")
def engine_holds(context, tokens):
    context.placement = Placement()
    context.holder = choose(context.placement, demand(17_000, PART))
    add(context.placement, "first", context.holder, demand(17_000, PART))
    context.placement.note_begun("first", START)
    context.placement.remove("first")


@given("an engine that says that it holds a part of {tokens:d} tokens")
def engine_says(context, tokens):
    context.placement = Placement()
    (context.holder,) = [choose(context.placement, demand(17_000, PART))]
    context.placement.hold(context.holder, [PART], memory_tokens=MEMORY_TOKENS)


def with_backlog(context, tokens):
    """Return where a prompt with the part goes behind a backlog at its holder."""
    add(
        context.placement,
        "backlog",
        context.holder,
        demand(tokens, own=f"backlog-{tokens}"),
    )
    chosen = choose(context.placement, demand(17_000, PART, own="next"))
    context.placement.remove("backlog")
    return chosen


@then("a prompt with the part goes there while its backlog is below {tokens:d} tokens")
def goes_to_holder(context, tokens):
    assert with_backlog(context, tokens - 1) == context.holder


@then("elsewhere when its backlog is above {tokens:d} tokens")
def goes_elsewhere(context, tokens):
    assert with_backlog(context, tokens + 1) != context.holder


@when("the short prompts come in a burst of {factor:d} times their number")
def short_burst(context, factor):
    name = next(name for name, kind in context.site.kinds.items() if not kind.rank)
    site = replace(context.site, bursts=((name, factor, *BURST_SECONDS),))
    context.shares = [burst_share(site)]
    with (
        mock.patch.object(placement_core, "SHORT_ON_LONG_PENALTY", NEVER),
        mock.patch.object(placement_core, "LONG_ON_SHORT_PENALTY", NEVER),
    ):
        context.shares.append(burst_share(site))


def burst_share(site):
    """Return the share on time over some plays with a burst."""
    shares = [
        on_time(play(site, place=Entries(is_shared=True), seconds=12, seed=seed))
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


@then("more are on time than if each side kept to itself")
def more_on_time(context):
    assert context.shares[0] > context.shares[1], context.shares


@when("it is played by entries that know how much may be read beside a stream, and not")
def played_with_pauses(context):
    ways = (True, False)
    context.late, context.shares = [], []
    for knows in ways:
        late = share = 0
        for seed in PAUSE_SEEDS:
            place = Entries(is_shared=True, knows_pauses=knows)
            requests = play(context.site, place=place, seconds=PLAY_SECONDS, seed=seed)
            late += sum(one.longest_gap_ms > one.kind.gap_ms for one in requests)
            share += on_time(requests)
        context.late.append(late)
        context.shares.append(share)


@then("fewer streams pause too long with the first, and no fewer are on time")
def fewer_pause(context):
    assert context.late[0] < context.late[1], context.late
    assert context.shares[0] >= context.shares[1], context.shares


@when("{count:d} streams beside which {chunks:d} chunks may be read run there")
def streams_run(context, count, chunks):
    asked = demand(1_500, own="short")
    asked = replace(asked, most_chunks=chunks)
    for number in range(count):
        add(context.placement, f"short-{number}", context.holder, asked)
        context.placement.note_begun(f"short-{number}", START)


@then("a prompt with the part and {tokens:d} tokens of its own goes {where}")
def prompt_goes(context, tokens, where):
    asked = demand(PART.tokens + tokens, PART, own=f"own-{tokens}")
    is_there = choose(context.placement, asked) == context.holder
    assert is_there == (where == "there")


@given("streams with events of {tokens:d} tokens and pauses of {pause:d} ms at most")
def streams_with_pauses(context, tokens, pause):
    context.limit = most_chunks(timedelta(milliseconds=pause), tokens)


@then("{chunks} chunks may be read in a row beside them")
def chunks_beside(context, chunks):
    assert context.limit == (None if chunks == "any" else int(chunks))
