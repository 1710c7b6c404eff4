"""Steps for routing policies, subsets, retry budgets and ejection."""

import math
import random
from datetime import UTC, datetime, timedelta
from itertools import pairwise

from behave import given, then
from hypothesis import assume
from hypothesis import given as for_any
from hypothesis import strategies as st

from zinniaramp.routing import (
    POLICIES,
    Candidate,
    Ejections,
    RetryBudget,
    RoutingContext,
    SubsetMember,
    choose_subset,
    rank,
    retry_after,
)
from zinniaramp.routing.budget import MAX_BALANCE

START = datetime(2030, 1, 1, tzinfo=UTC)
NAMES = ["a", "b", "c", "d", "e", "f"]
CANDIDATES = st.lists(
    st.builds(
        Candidate,
        name=st.sampled_from(NAMES),
        in_flight=st.integers(0, 20),
        reported=st.integers(0, 20),
        unreported=st.integers(0, 20),
        width=st.integers(1, 8),
        latency_s=st.floats(0, 5),
    ),
    min_size=1,
    unique_by=lambda one: one.name,
)
MEMBERS = st.lists(
    st.builds(
        SubsetMember,
        name=st.text("abcd", min_size=1, max_size=4),
        data_centre=st.sampled_from(["x", "y", "z"]),
    ),
    unique_by=lambda one: one.name,
)

EVENTS = st.lists(st.integers(0, 3).map(lambda number: number == 0), min_size=40)


def make_context(seed, key=b"", number=0):
    return RoutingContext(
        affinity_key=key, number=number, random_source=random.Random(seed)
    )


@given("any candidates")
@given("any endpoints in data centres")
@given("any sequence of requests and retries")
@given("any sequence of failures and successes")
@given("any retry-after hints of endpoints")
def given_any_cases(context):
    """Hypothesis generates the cases in the final step."""


@then("every policy chooses one of them, and the same one from the same seed")
def check_policies(context):
    @for_any(CANDIDATES, st.integers(0, 99), st.binary(max_size=4))
    def check(candidates, seed, key):
        for policy in POLICIES.values():
            chosen = policy(candidates, make_context(seed, key, seed))
            assert chosen in candidates
            assert chosen == policy(candidates, make_context(seed, key, seed))

    check()


@then("without affinity two choices never choose one that costs more than all others")
def check_two_choices(context):
    @for_any(CANDIDATES, st.integers(0, 99))
    def check(candidates, seed):
        assume(len(candidates) > 1)
        worst = max(candidates, key=lambda one: one.cost)
        assume(all(one.cost < worst.cost for one in candidates if one is not worst))
        assert POLICIES["two_choices"](candidates, make_context(seed)) is not worst

    check()


@then("affinity is followed exactly while a reference load bound holds")
def check_affinity(context):
    @for_any(CANDIDATES, st.integers(0, 99), st.binary(min_size=1, max_size=4))
    def check(candidates, seed, key):
        preferred_name = rank(key, [one.name for one in candidates])[0]
        preferred = next(one for one in candidates if one.name == preferred_name)
        total = 1
        slots = 0
        for one in candidates:
            total += max(one.in_flight, one.reported + one.unreported)
            slots += one.width
        bound = math.ceil(1.25 * total * preferred.width / slots)
        pending = max(preferred.in_flight, preferred.reported + preferred.unreported)
        chosen = POLICIES["two_choices"](candidates, make_context(seed, key))
        if pending + 1 <= bound:
            assert chosen is preferred
        else:
            fallback = POLICIES["two_choices"](candidates, make_context(seed))
            assert chosen == fallback

    check()


@given("{count:d} endpoints and reports that are {age:d} requests old")
def given_late_reports(context, count, age):
    context.endpoints = [f"endpoint-{number}" for number in range(count)]
    context.age = age


def peak_after(policy, endpoints, age, requests):
    """Return the peak load of any endpoint if the endpoints finish requests in turn."""
    source = random.Random(7)
    loads = dict.fromkeys(endpoints, 0)
    reported = dict(loads)
    sent = dict.fromkeys(endpoints, 0)
    peak = 0
    for number in range(requests):
        if number % age == 0:
            reported = dict(loads)
            sent = dict.fromkeys(endpoints, 0)
        candidates = [
            Candidate(name=one, reported=reported[one], unreported=sent[one], width=4)
            for one in endpoints
        ]
        routing_context = RoutingContext(
            affinity_key=b"", number=number, random_source=source
        )
        chosen = policy(candidates, routing_context).name
        loads[chosen] += 1
        sent[chosen] += 1
        peak = max(peak, *loads.values())
        finishing = endpoints[number % len(endpoints)]
        loads[finishing] = max(0, loads[finishing] - 1)
    return peak


@then("{requests:d} requests by two choices have a lower peak than by least reported")
def check_herding(context, requests):
    peaks = {
        name: peak_after(POLICIES[name], context.endpoints, context.age, requests)
        for name in ("two_choices", "least_reported")
    }
    assert peaks["two_choices"] < peaks["least_reported"], peaks


def reference_subset(entry, members, size):
    """Return a subset built from one endpoint of each data centre in turn."""
    order = rank(entry.encode(), [one.name for one in members])
    left = [next(one for one in members if one.name == name) for name in order]
    centres = list(dict.fromkeys(one.data_centre for one in left))
    chosen = []
    while left and len(chosen) < size:
        for centre in centres:
            candidate = next((one for one in left if one.data_centre == centre), None)
            if candidate is not None and len(chosen) < size:
                left.remove(candidate)
                chosen.append(candidate)
    return chosen


@then("their subset equals that of a reference implementation")
def check_subset(context):
    @for_any(MEMBERS, st.integers(1, 8), st.permutations(range(8)))
    def check(members, size, order):
        chosen = choose_subset("entry", members, size)
        assert chosen == reference_subset("entry", members, size)
        shuffled = sorted(members, key=lambda one: order[len(one.name)])
        assert choose_subset("entry", shuffled, size) == chosen
        assert len(chosen) == min(size, len(members))

    check()


@then("removing a non-member keeps the subset, and removing a member replaces it")
def check_subset_change(context):
    @for_any(MEMBERS, st.integers(1, 8), st.integers(0, 99))
    def check(members, size, number):
        assume(members)
        members = [SubsetMember(name=one.name, data_centre="x") for one in members]
        before = set(choose_subset("entry", members, size))
        lost = members[number % len(members)]
        rest = [one for one in members if one is not lost]
        after = set(choose_subset("entry", rest, size))
        if lost in before:
            assert before - after == {lost} and len(after - before) <= 1
        else:
            assert after == before

    check()


@then("no more retries are allowed than the balance and the share permit")
def check_budget(context):
    @for_any(EVENTS, st.sampled_from([0, 0.125, 0.5]))
    def check(events, share):
        budget = RetryBudget()
        expected_balance = MAX_BALANCE
        allowed, requests = 0, 0
        for is_request in events:
            if is_request:
                requests += 1
                expected_balance = min(MAX_BALANCE, expected_balance + share)
                budget.deposit(share)
            else:
                is_allowed = expected_balance >= 1
                expected_balance -= is_allowed
                allowed += is_allowed
                assert budget.withdraw() == is_allowed
        assert allowed <= MAX_BALANCE + share * requests

    check()


@then("at most half are ejected, and a success ends an ejection")
def check_ejections(context):
    events = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=40)

    @for_any(events, st.lists(st.sampled_from(NAMES), unique=True), st.integers(0, 9))
    def check(events, names, seed):
        ejections = Ejections(clock=lambda: START, random_source=random.Random(seed))
        failed = set()
        for name, is_failure in events:
            if is_failure:
                ejections.record_failure(name)
                failed.add(name)
            else:
                ejections.record_success(name)
                failed.discard(name)
        usable = ejections.usable(names)
        ejected = set(names) - set(usable)
        expected_count = min(len(failed & set(names)), len(names) // 2)
        assert ejected <= failed and len(ejected) == expected_count
        assert usable == [one for one in names if one in usable]

    check()


@given(
    "an endpoint that fails {count:d} times in a row, "
    "with {attempts:d} attempts each time"
)
def given_failures(context, count, attempts):
    now = [START]
    ejections = Ejections(clock=lambda: now[0], random_source=random.Random(1))
    context.times = []
    for _ in range(count):
        for _ in range(attempts):
            ejections.record_failure("a")
        context.times.append(ejections.ejections["a"].until - now[0])
        now[0] = ejections.ejections["a"].until


@then("each ejection is twice as long as the previous one, and at most {maximum:d} s")
def check_ejection_times(context, maximum):
    bound = timedelta(seconds=maximum)
    for previous, following in pairwise(context.times):
        assert following == min(bound, previous * 2)
    assert context.times[-1] == bound


@given("{count:d} endpoints of which one is past its ejection time")
def given_past_ejection(context, count):
    now = [START]
    context.ejections = Ejections(clock=lambda: now[0], random_source=random.Random(3))
    context.ejections.record_failure("a")
    now[0] += timedelta(seconds=5)


@then("{count:d} decisions include it in {low:d} to {high:d}")
def check_probes(context, count, low, high):
    included = sum("a" in context.ejections.usable(["a", "b"]) for _ in range(count))
    assert low <= included <= high, included


@then("the retry-after time is between the shortest hint and half more")
def check_retry_after(context):
    @for_any(st.lists(st.floats(-1, 1e9)), st.integers(0, 99))
    def check(hints_s, seed):
        positive = [one for one in hints_s if one > 0]
        shortest = min(300, max(1, min(positive, default=1)))
        seconds = retry_after(hints_s, random.Random(seed)).total_seconds()
        assert shortest - 1e-5 <= seconds <= shortest * 1.5 + 1e-5

    check()
