"""Steps for the admission of prompts."""

from datetime import timedelta
from random import Random

from behave import given, then, when

from features.admission.play import Load, Play, measure
from features.placement.play import SERVICE, START
from zinniaramp.admission import Admission, HeldRequest, Hold, Refuse, Send
from zinniaramp.admission.core import MAX_HELD
from zinniaramp.admission.queue import FLOOR_RELEASES
from zinniaramp.placement import (
    Demand,
    EngineChoice,
    EngineTraits,
    PromptSegment,
)
from zinniaramp.placement.law import DEFAULT_LAW

SEED = 1
MAX_PASSED, MAX_PASSED_SHARE = 10, 1 / 12
"""Requests of a class that may get nothing while less urgent ones begin."""

MIN_SHARE = 0.25
ENGINE = "engine"
DEADLINE = timedelta(seconds=10)
MILLISECOND = timedelta(milliseconds=1)


@given("the first test load with all engines")
def load_with_all(context):
    context.load = Load(seconds=4)


@given(
    "the first test load with {left:d} engines left from {start:d} s to {end:d} s, "
    "and a workspace that sends {factor:d} times its usual meanwhile"
)
def load_with_heavy(context, left, start, end, factor):
    context.load = Load(
        seconds=end + 1,
        engines_left=left,
        away_s=(start, end),
        heavy=factor,
        heavy_s=(start, end),
    )


@given("the first test load with {left:d} engines left from {start:d} s to {end:d} s")
def load_with_left(context, left, start, end):
    context.load = Load(seconds=end + 1, engines_left=left, away_s=(start, end))


@when("it is simulated without and with admission")
def simulated(context):
    plays = [
        Play(context.load, seed=SEED, is_admitting=is_admitting)
        for is_admitting in (False, True)
    ]
    context.calls = [one.run() for one in plays]
    context.before, context.after = map(measure, context.calls)
    context.holds = plays[1].holds


@then("no prompt is held or refused, and each gets its first event at the same time")
def same_as_without(context):
    before, after = (
        [(one.state, one.first_ms) for one in calls] for calls in context.calls
    )
    assert not context.holds
    assert before == after


@then("callers get at least {gain:g} more of the value of their requests")
def callers_gain(context, gain):
    before, after = context.before.value["all"], context.after.value["all"]
    assert after >= before + gain, (before, after)


@then("under half as many requests are preempted")
def fewer_preempted(context):
    before, after = context.before.preempted, context.after.preempted
    assert 2 * after < before, (before, after)


@then("more urgent requests aren't passed over for dossiers")
def not_passed_over(context):
    for passed, share in context.after.passed_over.values():
        assert passed < MAX_PASSED or share <= MAX_PASSED_SHARE, context.after


@then("no class gets less than a quarter of what all get")
def classes_served(context):
    served = [one for one in context.calls[1] if one.state != "lost"]
    for name in context.load.site.kinds:
        group = [one for one in served if one.name == name]
        assert share_served(group) >= MIN_SHARE * share_served(served), name


def share_served(calls):
    """Return the share of requests that were answered."""
    return sum(one.state == "served" for one in calls) / len(calls)


def values(calls):
    """Return the mean value of the first workspace's requests and of the others'."""
    groups = {True: [], False: []}
    for one in calls:
        if one.state != "lost":
            groups[one.demand.workspace == "workspace-0"].append(one)
    return [
        sum(one.value() for one in groups[is_first]) / len(groups[is_first])
        for is_first in (True, False)
    ]


@then("the other workspaces get at least {gain:g} more of the value of their requests")
def others_gain(context, gain):
    (_, before), (_, after) = map(values, context.calls)
    assert after >= before + gain, (before, after)


@then("they get more than the one that sends so much, which gets at least a quarter")
def heavy_waits(context):
    heavy, others = values(context.calls[1])
    assert MIN_SHARE * others <= heavy < others, (heavy, others)


class OneEngine:
    """One engine and the admission of one gateway.

    Parameters
    ----------
    slots : int
        Slots of the engine.
    """

    def __init__(self, *, slots):
        self.admission = Admission(law=lambda _: DEFAULT_LAW, random=Random(SEED))
        self.traits = EngineTraits(
            service=SERVICE, kv_capacity_tokens=0, slots=slots, tokens_per_event=4
        )
        self.now = START
        self.sent = 0

    def request(self, urgency, workspace="w"):
        """Return a request."""
        demand = Demand(
            prompt_tokens=1000,
            output_limit=100,
            output_estimate=100,
            parts=(PromptSegment(name="own", tokens=1000),),
            workspace=workspace,
            urgency=urgency,
        )
        choice = EngineChoice(
            engine=ENGINE,
            predicted_ttft=20 * MILLISECOND,
            prefill_tokens=1000,
            cost_ms=20.0,
        )
        return HeldRequest(
            demand=demand,
            traits=self.traits,
            deadline=self.now + DEADLINE,
            since=self.now,
            engines=lambda: [ENGINE],
            choose=lambda names: choice,
        )

    def start(self, demand):
        """Record a send."""
        self.sent += 1
        self.admission.record_start(self.sent, SERVICE, ENGINE, demand, self.now)

    def offer(self, urgency, workspace="w"):
        """Offer a request; return it and the decision."""
        request = self.request(urgency, workspace)
        return request, self.admission.offer(request, self.now)

    def end(self, key):
        """End a send and return what is released."""
        self.admission.record_end(key, self.now)
        return self.admission.drain(SERVICE, self.now)


@given("an engine with {slots:d} slots, both taken by requests of class 0")
def engine_full(context, slots):
    context.engine = OneEngine(slots=slots)
    for _ in range(slots):
        context.engine.start(context.engine.request(0).demand)


@given("an engine with {slots:d} slots, one taken by a request of class 0")
def engine_free(context, slots):
    context.engine = OneEngine(slots=slots)
    context.engine.start(context.engine.request(0).demand)


@when("prompts of class 0 and 2 are held until the queue is over its bound")
def queue_overflows(context):
    engine, context.evicted = context.engine, []
    served = engine.request(2, "served").demand
    engine.admission.service(SERVICE).shares.enter("other")
    engine.start(served)
    for number in range(MAX_HELD + 4):
        is_urgent = number % 2
        name = "served" if number % 4 else "other"
        _, verdict = engine.offer(0 if is_urgent else 2, name)
        assert isinstance(verdict, Hold)
        evicted = engine.admission.evict(SERVICE, engine.now)
        if evicted:
            context.evicted.append(evicted)


@then("the prompts that are given up are of class 2 and of the workspace served most")
def least_urgent_evicted(context):
    assert len(context.evicted) == 4
    for request, refusal in context.evicted:
        assert request.demand.urgency == 2, request
        assert request.demand.workspace == "served", request
        assert refusal.reason == "queue-full"


@when("a prompt comes that can't meet its deadline")
def hopeless_prompt(context):
    request = context.engine.request(0)
    request.deadline = context.engine.now + MILLISECOND
    context.verdict = context.engine.admission.offer(request, context.engine.now)


@then("it is sent")
def is_sent(context):
    assert isinstance(context.verdict, Send), context.verdict


@when("a prompt of class 0 is held, and its time is over but for 1 ms")
def time_nearly_over(context):
    engine = context.engine
    context.request, verdict = engine.offer(0)
    assert isinstance(verdict, Hold)
    engine.now += DEADLINE - MILLISECOND
    context.released = engine.admission.drain(SERVICE, engine.now)


@then("it is refused with the predicted wait")
def is_refused(context):
    request, verdict = context.released
    assert request is context.request
    assert isinstance(verdict, Refuse) and verdict.reason == "deadline"
    assert verdict.wait_ms > 0


@when("a prompt of class 0 is held, and its caller leaves")
def caller_leaves(context):
    request, verdict = context.engine.offer(0)
    assert isinstance(verdict, Hold)
    assert context.engine.admission.remove(request)


@then("nothing is sent when a slot becomes free")
def nothing_sent(context):
    assert context.engine.end(1) is None
    assert not context.engine.admission.held_count()


@when("a prompt of class 2 is held, and ever more of class 0")
def class_waits(context):
    engine = context.engine
    waiting, _ = engine.offer(2)
    context.before_it = 0
    for _ in range(4 * FLOOR_RELEASES):
        engine.offer(0)
        request, verdict = engine.end(engine.sent)
        assert isinstance(verdict, Send)
        if request is waiting:
            return
        engine.start(request.demand)
        context.before_it += 1


@then("it is sent after {count:d} of the others")
def sent_after(context, count):
    assert context.before_it == count, context.before_it
