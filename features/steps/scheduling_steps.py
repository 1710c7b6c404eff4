"""Steps for scheduling.feature, which tests the scheduler without an engine."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from zinniaramp.contracts import RefusalReason, RevisionId
from zinniaramp.declarations import read_declarations
from zinniaramp.scheduling import (
    ExpireJob,
    Job,
    JobState,
    PauseJob,
    ResumeJob,
    Scheduler,
    ShedJob,
    StartJob,
)
from zinniaramp.scheduling.estimates import LengthSketch, SpeedEstimate
from zinniaramp.scheduling.fairness import FAIR_QUANTUM_TOKENS
from zinniaramp.scheduling.floor import MAX_QUANTUM_S, floor_wait_bound, scaled_floor

START = datetime(2026, 1, 1, tzinfo=UTC)
CLASS_NAMES = ["question", "frame", "record", "fixed", "summary", "dossier"]
CLASS_SECTIONS = """
[class question]
tier = 1
first_token = 0.3
[class frame]
tier = 1
first_token = 1
[class record]
tier = 2
repeatable = false
[class fixed]
tier = 3
preemptible = false
[class summary]
tier = 4
finish = 20
[class dossier]
tier = 5
finish = 86400
"""
OFFERS = st.tuples(
    st.just("offer"),
    st.sampled_from(CLASS_NAMES),
    st.sampled_from("ab"),
    st.sampled_from([2, 20, 500]),
)
INDEXES = st.integers(0, 5)
EVENTS = st.one_of(
    OFFERS,
    OFFERS,
    st.tuples(st.just("tokens"), INDEXES, st.integers(1, 300)),
    st.tuples(st.just("end"), INDEXES),
    st.tuples(st.just("cancel"), INDEXES),
    st.tuples(st.just("wait"), st.integers(1, 15)),
)
FLOORS = st.lists(st.sampled_from([0.02, 0.05, 0.2]), min_size=1, max_size=5)
WEIGHTS = st.lists(st.sampled_from([0.5, 1, 2, 4]), min_size=2, max_size=4)
LENGTHS = st.lists(st.integers(1, 500), min_size=100, max_size=200)
MIN_EVENTS, MAX_EVENTS = 40, 60
NO_FLOOR_PERIOD = timedelta(seconds=30)
"""Time within which no class earns a floor quantum.

With a floor of 0.01 and three slots it takes 33 s to earn a quantum of 1 s.
"""
QUEUE_LIMIT = timedelta(seconds=5)
STEP_S = 0.1


def make_declarations(text):
    revision = RevisionId(index=1, digest="")
    return read_declarations(text, file="test", revision=revision).unwrap()


class SchedulerHarness:
    """A scheduler with a controlled clock and the job states that its actions imply."""

    def __init__(self, text, *, width, **options):
        self.now, self.number = START, 0
        self.scheduler = Scheduler(
            width=width,
            declarations=make_declarations(text),
            clock=lambda: self.now,
            **options,
        )
        self.running, self.queued, self.slot_since = {}, {}, {}
        self.prompt_bytes = 0

    def make_job(self, class_name, workspace="w", deadline_s=86400):
        """Return a new job with the next number as its identifier."""
        self.number += 1
        return Job(
            attempt_id=str(self.number),
            class_name=class_name,
            workspace=workspace,
            arrived=self.now,
            deadline=self.now + timedelta(seconds=deadline_s),
            prompt_bytes=self.prompt_bytes,
        )

    def offer(self, job):
        """Offer a job and record it as queued if it is admitted."""
        admission = self.scheduler.offer(job)
        if admission.is_admitted:
            self.queued[job.attempt_id] = job
        return admission

    def run_actions(self):
        """Apply and return the next actions of the scheduler."""
        actions = self.scheduler.next_actions()
        for action in actions:
            self.apply_action(action)
        return actions

    def apply_action(self, action):
        """Record the effect of an action; the job must be in a state that allows it."""
        name = action.job.attempt_id
        match action:
            case StartJob() | ResumeJob():
                job = self.queued.pop(name)
                assert isinstance(action, ResumeJob) == (name in self.slot_since)
                self.running[name] = job
                self.slot_since[name] = self.now
            case PauseJob():
                self.queued[name] = self.running.pop(name)
            case ExpireJob():
                assert self.queued.pop(name).deadline <= self.now
                assert name not in self.slot_since, (
                    "a job that ran was reported as not run"
                )
            case ShedJob(retry_after=retry_after):
                del self.queued[name]
                assert name not in self.slot_since, (
                    "a job that ran was reported as not run"
                )
                assert retry_after > timedelta(0)

    def end(self, name, *, is_finished=True):
        """End a running or queued job."""
        self.running.pop(name, None) or self.queued.pop(name)
        self.scheduler.remove(name, is_finished=is_finished)

    def pick(self, index, jobs):
        """Return the name of the job at an index, modulo their number, or None."""
        names = sorted(jobs, key=int)
        return names[index % len(names)] if names else None

    def handle(self, event):
        """Apply one event of a sequence other than an offer."""
        match event:
            case ("tokens", index, count) if name := self.pick(index, self.running):
                self.scheduler.record_tokens(name, count)
            case ("end", index) if name := self.pick(index, self.running):
                self.end(name)
            case ("cancel", index) if name := self.pick(index, self.queued):
                self.end(name, is_finished=False)
            case ("wait", steps):
                self.now += timedelta(seconds=STEP_S * steps)

    def declaration_of(self, job):
        """Return the declaration of a job's class."""
        return self.scheduler.declarations.classes[job.class_name]

    def tier_of(self, job):
        """Return a job's tier."""
        return self.declaration_of(job).tier

    def is_pausable(self, job):
        """Return whether a job may be paused."""
        declaration = self.declaration_of(job)
        return declaration.preemptible and declaration.repeatable


def reference_key(harness, job):
    declaration = harness.declaration_of(job)
    due = job.arrived + declaration.first_token
    finish = job.arrived + declaration.finish
    return (declaration.tier, due, finish, int(job.attempt_id))


def reference_victim_key(harness, slot_since, job):
    """Return a key whose maximum is the job to preempt.

    Lowest-priority tier first, then fewest tokens, then the latest start.
    """
    return (harness.tier_of(job), -job.tokens, slot_since[job.attempt_id])


def reference_actions(harness):
    """Return the actions of a reference scheduler that sorts all jobs each time."""
    width, now = harness.scheduler.width, harness.now
    queued, running = dict(harness.queued), dict(harness.running)
    slot_since, actions = dict(harness.slot_since), []
    unstarted = [job for name, job in queued.items() if name not in slot_since]
    for job in sorted(unstarted, key=lambda job: (job.deadline, int(job.attempt_id))):
        if job.deadline <= now:
            actions.append(("ExpireJob", job.attempt_id))
            del queued[job.attempt_id]
    while queued:
        next_job = min(queued.values(), key=lambda job: reference_key(harness, job))
        if len(running) == width:
            tier = harness.tier_of(next_job)
            victims = [
                job
                for job in running.values()
                if harness.tier_of(job) > tier and harness.is_pausable(job)
            ]
            if not victims:
                break
            victim = max(
                victims, key=lambda job: reference_victim_key(harness, slot_since, job)
            )
            actions.append(("PauseJob", victim.attempt_id))
            queued[victim.attempt_id] = running.pop(victim.attempt_id)
        name = next_job.attempt_id
        actions.append(("ResumeJob" if name in slot_since else "StartJob", name))
        slot_since[name] = now
        running[name] = queued.pop(name)
    return actions


def action_names(actions):
    return [(type(action).__name__, action.job.attempt_id) for action in actions]


def check_same_actions(events, width):
    harness = SchedulerHarness(
        "[defaults]\nfloor = 0.01\nqueue_limit = 9999" + CLASS_SECTIONS, width=width
    )
    for event in events:
        if harness.now - START > NO_FLOOR_PERIOD:
            return
        match event:
            case ("offer", class_name, _, deadline_s):
                harness.offer(harness.make_job(class_name, deadline_s=deadline_s))
            case _:
                harness.handle(event)
        wakeup, now = harness.scheduler.next_wakeup(), harness.now
        expected = reference_actions(harness)
        actual = harness.run_actions()
        victims = [a.job for a in actual if isinstance(a, PauseJob)]
        assert sorted(action_names(actual)) == sorted(expected), (
            action_names(actual),
            expected,
        )
        expiries = [name for name in expected if name[0] == "ExpireJob"]
        assert not expiries or wakeup <= now, "the wakeup time is too late"
        assert all(job.state is not JobState.WAITING for job in victims)


@given("any sequence of offers, tokens, ends and waits, too short for a floor quantum")
@given("any sequence of offers, tokens, ends and waits")
def any_sequence(context):
    context.cases = st.lists(EVENTS, min_size=MIN_EVENTS, max_size=MAX_EVENTS)


@when("a scheduler and a reference scheduler process it")
def run_both(context):
    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 3))
    def check(events, width):
        check_same_actions(events, width)

    context.check = check


@then("both pause two equal jobs with different start times in the same order")
def check_equal_jobs(context):
    offer = ("offer", "dossier", "a", 500)
    events = [offer, ("wait", 5), offer, ("wait", 5), ("offer", "question", "a", 500)]
    check_same_actions(events, 2)


@when("a scheduler with a short queue processes it")
def run_with_short_queue(context):
    text = "[defaults]\nfloor = 0.15\nqueue_limit = 5" + CLASS_SECTIONS

    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 4))
    def check(events, width):
        harness = SchedulerHarness(text, width=width, max_queued=4)
        for event in events:
            match event:
                case ("offer", class_name, workspace, deadline_s):
                    job = harness.make_job(class_name, workspace, deadline_s)
                    check_refusal(harness, job, harness.offer(job))
                case _:
                    harness.handle(event)
            harness.run_actions()
            check_slots(harness)

    context.check = check


def check_refusal(harness, job, admission):
    """Check that no job of a lower-priority tier caused a refusal."""
    if admission.reason is not RefusalReason.OVERLOADED:
        return
    tier = harness.tier_of(job)
    others = [
        other for other in harness.running.values() if harness.tier_of(other) > tier
    ]
    assert not any(harness.is_pausable(other) for other in others)
    waiting = [j for j in harness.queued.values() if j.state is JobState.WAITING]
    if admission.wait <= QUEUE_LIMIT:
        assert all(harness.tier_of(other) <= tier for other in waiting)
    assert admission.retry_after > timedelta(0)


def check_slots(harness):
    """Check the invariants that hold after every event."""
    assert len(harness.running) <= harness.scheduler.width
    if not harness.queued:
        return
    assert len(harness.running) == harness.scheduler.width, "a slot is idle"
    paused = [j for j in harness.queued.values() if j.state is JobState.PAUSED]
    for name in CLASS_NAMES:
        paused_of_class = sum(job.class_name == name for job in paused)
        assert paused_of_class <= harness.scheduler.width, "too many paused jobs"
    highest_tier = min(harness.tier_of(job) for job in harness.queued.values())
    max_quantum = timedelta(seconds=MAX_QUANTUM_S)
    for name, job in harness.running.items():
        if harness.tier_of(job) > highest_tier and harness.is_pausable(job):
            assert harness.now - harness.slot_since[name] < max_quantum, (
                "protected for longer than a quantum"
            )
            assert (
                harness.scheduler.next_wakeup()
                <= harness.slot_since[name] + 1.01 * max_quantum
            )


class SteadySpeed(SpeedEstimate):
    """A speed estimate that ignores all observations."""

    def advance(self, now):
        """Ignore time."""

    def add_tokens(self, count):
        """Ignore tokens."""

    def add_first_token(self, seconds):
        """Ignore the time to the first token."""


@when("one scheduler gets all jobs and another only those of the highest-priority tier")
def run_with_and_without_lower_tiers(context):
    text = "[defaults]\nfloor = 0.01\nqueue_limit = 20" + CLASS_SECTIONS
    text = text.replace("= false", "= true")

    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 3))
    def check(events, width):
        all_tiers = SchedulerHarness(text, width=width, max_queued=4)
        highest_tier = SchedulerHarness(text, width=width, max_queued=4)
        for harness in (all_tiers, highest_tier):
            harness.scheduler.speed = SteadySpeed()
        for event in events:
            if all_tiers.now - START <= NO_FLOOR_PERIOD:
                check_highest_tier(all_tiers, highest_tier, event)

    context.check = check


def check_highest_tier(all_tiers, highest_tier, event):
    """Apply an event to both schedulers and compare the highest-priority tier."""
    match event:
        case ("offer", class_name, workspace, deadline_s):
            job = all_tiers.make_job(class_name, workspace, deadline_s)
            admission = all_tiers.offer(job)
            highest_tier.number += 1
            if all_tiers.tier_of(job) == 1:
                copy = highest_tier.make_job(class_name, workspace, deadline_s)
                copy.attempt_id = job.attempt_id
                assert highest_tier.offer(copy) == admission
        case ("wait", _):
            all_tiers.handle(event)
            highest_tier.handle(event)
        case ("end", index) if name := all_tiers.pick(index, all_tiers.running):
            all_tiers.end(name)
            if name in highest_tier.running:
                highest_tier.end(name)
    started = []
    for harness in (all_tiers, highest_tier):
        actions = harness.run_actions()
        for name in harness.running:
            harness.scheduler.record_tokens(name, 1)
        urgent = [action for action in actions if harness.tier_of(action.job) == 1]
        started.append(action_names(urgent))
    assert started[0] == started[1], started


@then("both return the same actions")
@then("slots, queue length, preemption and refusals follow the rules")
@then("both admit and start the jobs of that tier in the same way")
@then("each class gets a slot within the bound and its share over time")
@then("the served tokens over weight differ by a bounded amount")
@then(
    "the estimate is near the true quantile, before and after some tokens are generated"
)
def run_check(context):
    context.check()


@when("jobs of classes with any floors wait behind a continuous load of urgent jobs")
def run_classes_with_floors(context):
    @settings(max_examples=25)
    @for_any(FLOORS, st.integers(1, 6), st.sampled_from([0.1, 0.7, 2.0]))
    def check(floors, width, service_s):
        check_floors(floors, width, service_s)

    context.check = check


def check_floors(floors, width, service_s):
    """Run urgent jobs continuously; check that each other class gets its share."""
    text = "[defaults]\nqueue_limit = 86400\n[class urgent]\ntier = 1\n"
    for tier, floor in enumerate(floors, start=2):
        text += f"[class c{tier}]\ntier = {tier}\nfinish = 86400\nfloor = {floor}\n"
    harness = SchedulerHarness(text, width=width)
    for tier, _ in enumerate(floors, start=2):
        for _ in range(width):
            harness.offer(harness.make_job(f"c{tier}"))
    bounds = {
        f"c{tier}": floor_wait_bound(
            floor=floor,
            floor_sum=sum(floors),
            width=width,
            classes=len(floors),
            release_interval_s=service_s,
        )
        for tier, floor in enumerate(floors, start=2)
    }
    duration_s = 2 * max(bounds.values())
    slot_s = run_urgent_jobs(harness, bounds, service_s, duration_s)
    for tier, floor in enumerate(floors, start=2):
        share = scaled_floor(floor, sum(floors)) * width
        wait_bound_s = bounds[f"c{tier}"]
        assert slot_s[f"c{tier}"] >= share * (duration_s - wait_bound_s), (tier, slot_s)


def run_urgent_jobs(harness, bounds, service_s, duration_s):
    """Return the slot-seconds that each class other than the urgent one got."""
    slot_s = dict.fromkeys(bounds, 0.0)
    last_slot_at = dict.fromkeys(bounds, START)
    urgent = 0
    while harness.now < START + timedelta(seconds=duration_s):
        while sum(j.class_name == "urgent" for j in harness.queued.values()) < 2:
            harness.offer(harness.make_job("urgent"))
        harness.run_actions()
        interval_start, harness.now = harness.now, next_event(harness, service_s)
        for job in harness.running.values():
            if job.class_name != "urgent":
                slot_s[job.class_name] += (harness.now - interval_start).total_seconds()
                last_slot_at[job.class_name] = harness.now
        for name, bound in bounds.items():
            assert (harness.now - last_slot_at[name]).total_seconds() <= bound, name
        for name, job in list(harness.running.items()):
            is_served = harness.now - harness.slot_since[name] >= timedelta(
                seconds=service_s
            )
            if job.class_name == "urgent" and is_served:
                harness.end(name)
                urgent += 1
    assert urgent, "urgent jobs did not run"
    return slot_s


def next_event(harness, service_s):
    ends = [
        harness.slot_since[name] + timedelta(seconds=service_s)
        for name, job in harness.running.items()
        if job.class_name == "urgent"
    ]
    wakeup = harness.scheduler.next_wakeup()
    return min(ends + ([wakeup] if wakeup else []))


@when("jobs of workspaces with any weights run, offered one workspace after another")
def run_weighted_workspaces(context):
    @settings(max_examples=30)
    @for_any(WEIGHTS, st.integers(1, 3), st.randoms(use_true_random=False))
    def check(weights, width, rng):
        text = "[defaults]\nqueue_limit = 86400\n[class c]\ntier = 1\n"
        for number, weight in enumerate(weights):
            text += f"[workspace w{number}]\nweight = {weight}\n"
        harness = SchedulerHarness(text, width=width)
        served = {f"w{number}": 0.0 for number in range(len(weights))}
        for workspace in served:
            for _ in range(150):
                harness.offer(harness.make_job("c", workspace))
        for _ in range(150):
            harness.run_actions()
            name = harness.pick(rng.randrange(99), harness.running)
            job, tokens = harness.running[name], rng.randint(1, FAIR_QUANTUM_TOKENS)
            harness.scheduler.record_tokens(name, tokens)
            harness.end(name)
            weight = weights[int(job.workspace[1:])]
            served[job.workspace] += tokens / weight
        allowance = (1 + width) * 2 * FAIR_QUANTUM_TOKENS / min(weights)
        spread = max(served.values()) - min(served.values())
        assert spread <= FAIR_QUANTUM_TOKENS + allowance, served

    context.check = check


@given("an engine that generates 40 tokens per second in each slot")
def run_steady_engine(context):
    context.speed, context.time = SpeedEstimate(), 0.0
    context.speed.generating = 8
    run_engine(context, tokens_per_s=40, seconds=10)
    assert 38 < context.speed.tokens_per_s() < 42, context.speed.tokens_per_s()


@then("three seconds after a slowdown to an eighth the estimate is below a fifth")
def check_slowdown(context):
    run_engine(context, tokens_per_s=5, seconds=3)
    assert 5 <= context.speed.tokens_per_s() < 8, context.speed.tokens_per_s()


def run_engine(context, *, tokens_per_s, seconds):
    for _ in range(int(seconds * tokens_per_s)):
        context.time += 1 / tokens_per_s
        context.speed.advance(context.time)
        context.speed.add_tokens(8)


@when("any output lengths are observed, one in a hundred multiplied by a thousand")
def observe_lengths(context):
    @settings(max_examples=50)
    @for_any(LENGTHS, st.sampled_from([0.25, 0.5, 0.75]), st.integers(0, 300))
    def check(lengths, quantile, generated):
        lengths = [n * 1000 if i % 100 == 0 else n for i, n in enumerate(lengths)]
        sketch = LengthSketch()
        for length in lengths:
            sketch.add(length)
        # A bucket is half an octave wide, so its bounds differ by a factor of 2**0.5.
        longer = sorted(n for n in lengths if n > generated * 2**0.5)
        if len(longer) < 10:
            return
        true_length = longer[min(len(longer) - 1, int(quantile * len(longer)))]
        actual = generated + sketch.remaining(generated, quantile)
        assert true_length / 2 <= actual <= 2 * true_length + 1, (true_length, actual)

    context.check = check


@then("if half of the answers have 10 tokens and half 1000, over 500 remain after 100")
def check_remaining(context):
    sketch = LengthSketch()
    for length in [10, 1000] * 50:
        sketch.add(length)
    assert 500 <= sketch.remaining(100, 0.5) <= 2000, sketch.remaining(100, 0.5)


@given(
    "an engine with {width:d} slots, a wait limit of {limit:d} s and a queue of "
    "{places:d} jobs"
)
def small_engine(context, width, limit, places):
    text = f"[defaults]\nfloor = 0.15\nqueue_limit = {limit}" + CLASS_SECTIONS
    context.harness = SchedulerHarness(text, width=width, max_queued=places)
    context.actions, context.admissions = [], []


@given("an engine with {width:d} slots and the order {order}")
def engine_with_order(context, width, order):
    text = "[defaults]\nqueue_limit = 86400" + CLASS_SECTIONS
    context.harness = SchedulerHarness(text, width=width, order=order)
    context.actions, context.admissions = [], []


@given(
    "an engine with {width:d} slots, a wait limit of {limit:g} s, a queue of "
    "{places:d} jobs and no early refusal"
)
def engine_without_early_refusal(context, width, limit, places):
    text = f"[defaults]\nqueue_limit = {limit}" + CLASS_SECTIONS
    context.harness = SchedulerHarness(
        text, width=width, max_queued=places, admission="places"
    )
    context.actions, context.admissions = [], []


@given("prompts of {count:d} bytes")
def set_prompt_bytes(context, count):
    context.harness.prompt_bytes = count


@when('"{names}" are offered')
def offer_jobs(context, names):
    for name in names.split():
        class_name, _, workspace = name.partition("/")
        job = context.harness.make_job(class_name, workspace or "w")
        context.admissions.append(context.harness.offer(job))
        context.actions += action_names(context.harness.run_actions())


@when("{seconds:g} s pass")
def advance_time(context, seconds):
    context.harness.now += timedelta(seconds=seconds)


@when("job {name} ends")
def end_job(context, name):
    context.harness.end(name)
    context.actions += action_names(context.harness.run_actions())


@when("job {name} ends as a question arrives")
def end_as_question_arrives(context, name):
    context.harness.end(name)
    offer_jobs(context, "question")


@when("job {name} generates {count:d} tokens")
def generate(context, name, count):
    context.harness.scheduler.record_tokens(name, count)


@when("the next wakeup time is reached")
def advance_to_next_wakeup(context):
    context.harness.now = context.harness.scheduler.next_wakeup()
    context.actions += action_names(context.harness.run_actions())


@when("frame jobs of one workspace are offered until one is refused")
def offer_until_refused(context):
    offer_jobs(context, "frame")
    while context.admissions[-1].is_admitted:
        offer_jobs(context, "frame")


@then('the actions are "{expected}"')
def check_actions(context, expected):
    actual = ", ".join(" ".join(action) for action in context.actions)
    context.actions = []
    assert actual == expected, actual


@then('the last offers are "{expected}"')
def check_offers(context, expected):
    count = len(expected.split())
    last = context.admissions[-count:]
    actual = ["admitted" if a.is_admitted else "refused" for a in last]
    assert actual == expected.split(), last
    refused = [a for a in last if not a.is_admitted]
    assert all(a.reason is RefusalReason.OVERLOADED for a in refused)


@then("the wait predicted for a dossier is longer after a question was served")
def check_demand(context):
    context.harness.scheduler.speed = SteadySpeed()
    candidate = context.harness.make_job("dossier")
    before = context.harness.offer(candidate).wait
    context.harness.end("3")
    offer_jobs(context, "question")
    end_job(context, "4")
    assert context.harness.offer(context.harness.make_job("dossier")).wait > before
