"""Steps about the scheduler."""

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
CLASSES = ["question", "frame", "record", "fixed", "summary", "dossier"]
KINDS = """
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
    st.sampled_from(CLASSES),
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
FLOOR_FREE = timedelta(seconds=30)
"""Time in which no class earns a quantum of three slots at a floor of 0.01."""
QUEUE_LIMIT = timedelta(seconds=5)
STEP_S = 0.1


def declare(text):
    revision = RevisionId(index=1, digest="")
    return read_declarations(text, file="test", revision=revision).unwrap()


class Bench:
    """A scheduler, its clock and what its actions did."""

    def __init__(self, text, *, width, **options):
        self.now, self.number = START, 0
        self.scheduler = Scheduler(
            width=width,
            declarations=declare(text),
            clock=lambda: self.now,
            **options,
        )
        self.running, self.queued, self.got_slot = {}, {}, {}
        self.prompt_bytes = 0

    def make_job(self, class_name, workspace="w", deadline_s=86400):
        """Return a new job."""
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
        """Offer a job and note it if it was taken."""
        admission = self.scheduler.offer(job)
        if admission.is_admitted:
            self.queued[job.attempt_id] = job
        return admission

    def act(self):
        """Take the next actions and note what they did, checking each."""
        actions = self.scheduler.next_actions()
        for action in actions:
            self.apply(action)
        return actions

    def apply(self, action):
        """Note one action; a job must have been where it says."""
        name = action.job.attempt_id
        match action:
            case StartJob() | ResumeJob():
                job = self.queued.pop(name)
                assert isinstance(action, ResumeJob) == (name in self.got_slot)
                self.running[name] = job
                self.got_slot[name] = self.now
            case PauseJob():
                self.queued[name] = self.running.pop(name)
            case ExpireJob():
                assert self.queued.pop(name).deadline <= self.now
                assert name not in self.got_slot, "not run told of a run"
            case ShedJob(retry_after=retry_after):
                del self.queued[name]
                assert name not in self.got_slot, "not run told of a run"
                assert retry_after > timedelta(0)

    def end(self, name, *, is_finished=True):
        """End a job."""
        self.running.pop(name, None) or self.queued.pop(name)
        self.scheduler.remove(name, is_finished=is_finished)

    def pick(self, index, jobs):
        """Return the name of one of some jobs, or None."""
        names = sorted(jobs, key=int)
        return names[index % len(names)] if names else None

    def handle(self, event):
        """Let one event of a history happen, other than an offer."""
        match event:
            case ("tokens", index, count) if name := self.pick(index, self.running):
                self.scheduler.note_tokens(name, count)
            case ("end", index) if name := self.pick(index, self.running):
                self.end(name)
            case ("cancel", index) if name := self.pick(index, self.queued):
                self.end(name, is_finished=False)
            case ("wait", steps):
                self.now += timedelta(seconds=STEP_S * steps)

    def declaration_of(self, job):
        """Return a job's class."""
        return self.scheduler.declarations.classes[job.class_name]

    def tier_of(self, job):
        """Return a job's tier."""
        return self.declaration_of(job).tier

    def is_pausable(self, job):
        """Tell whether a job may be paused."""
        declaration = self.declaration_of(job)
        return declaration.preemptible and declaration.repeatable


def plain_key(bench, job):
    declaration = bench.declaration_of(job)
    due = job.arrived + declaration.first_token
    finish = job.arrived + declaration.finish
    return (declaration.tier, due, finish, int(job.attempt_id))


def plain_victim_key(bench, got_slot, job):
    """Order victims: highest tier, fewest tokens, started last."""
    return (bench.tier_of(job), -job.tokens, got_slot[job.attempt_id])


def plain_actions(bench):
    """Return the actions of a plain scheduler for the state of a bench."""
    width, now = bench.scheduler.width, bench.now
    queued, running = dict(bench.queued), dict(bench.running)
    got_slot, actions = dict(bench.got_slot), []
    unstarted = [job for name, job in queued.items() if name not in got_slot]
    for job in sorted(unstarted, key=lambda job: (job.deadline, int(job.attempt_id))):
        if job.deadline <= now:
            actions.append(("ExpireJob", job.attempt_id))
            del queued[job.attempt_id]
    while queued:
        best = min(queued.values(), key=lambda job: plain_key(bench, job))
        if len(running) == width:
            tier = bench.tier_of(best)
            victims = [
                job
                for job in running.values()
                if bench.tier_of(job) > tier and bench.is_pausable(job)
            ]
            if not victims:
                break
            victim = max(
                victims, key=lambda job: plain_victim_key(bench, got_slot, job)
            )
            actions.append(("PauseJob", victim.attempt_id))
            queued[victim.attempt_id] = running.pop(victim.attempt_id)
        name = best.attempt_id
        actions.append(("ResumeJob" if name in got_slot else "StartJob", name))
        got_slot[name] = now
        running[name] = queued.pop(name)
    return actions


def named(actions):
    return [(type(action).__name__, action.job.attempt_id) for action in actions]


def check_same_actions(events, width):
    bench = Bench("[defaults]\nfloor = 0.01\nqueue_limit = 9999" + KINDS, width=width)
    for event in events:
        if bench.now - START > FLOOR_FREE:
            return
        match event:
            case ("offer", class_name, _, deadline_s):
                bench.offer(bench.make_job(class_name, deadline_s=deadline_s))
            case _:
                bench.handle(event)
        wake, waited = bench.scheduler.next_wake(), bench.now
        expected = plain_actions(bench)
        found = bench.act()
        victims = [a.job for a in found if isinstance(a, PauseJob)]
        assert sorted(named(found)) == sorted(expected), (named(found), expected)
        expiries = [name for name in expected if name[0] == "ExpireJob"]
        assert not expiries or wake <= waited, "woke too late"
        assert all(job.state is not JobState.WAITING for job in victims)


@given("any history of offers, tokens, ends and waits, too short for a floor")
@given("any history of offers, tokens, ends and waits")
def any_history(context):
    context.cases = st.lists(EVENTS, min_size=MIN_EVENTS, max_size=MAX_EVENTS)


@when("a scheduler and a plain one are driven through it")
def drive_both(context):
    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 3))
    def check(events, width):
        check_same_actions(events, width)

    context.check = check


@then("two equal jobs that started apart are paused in the same order by both")
def equal_jobs_started_apart(context):
    offer = ("offer", "dossier", "a", 500)
    events = [offer, ("wait", 5), offer, ("wait", 5), ("offer", "question", "a", 500)]
    check_same_actions(events, 2)


@when("a scheduler with few places is driven through it")
def drive_with_few_places(context):
    text = "[defaults]\nfloor = 0.15\nqueue_limit = 5" + KINDS

    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 4))
    def check(events, width):
        bench = Bench(text, width=width, max_queued=4)
        for event in events:
            match event:
                case ("offer", class_name, workspace, deadline_s):
                    job = bench.make_job(class_name, workspace, deadline_s)
                    check_refusal(bench, job, bench.offer(job))
                case _:
                    bench.handle(event)
            bench.act()
            check_slots(bench)

    context.check = check


def check_refusal(bench, job, admission):
    """Check that nothing of a higher-numbered tier caused a refusal."""
    if admission.reason is not RefusalReason.OVERLOADED:
        return
    tier = bench.tier_of(job)
    others = [other for other in bench.running.values() if bench.tier_of(other) > tier]
    assert not any(bench.is_pausable(other) for other in others)
    waiting = [j for j in bench.queued.values() if j.state is JobState.WAITING]
    if admission.wait <= QUEUE_LIMIT:
        assert all(bench.tier_of(other) <= tier for other in waiting)
    assert admission.retry_after > timedelta(0)


def check_slots(bench):
    """Check what must hold after every step."""
    assert len(bench.running) <= bench.scheduler.width
    if not bench.queued:
        return
    assert len(bench.running) == bench.scheduler.width, "a slot is idle"
    paused = [j for j in bench.queued.values() if j.state is JobState.PAUSED]
    for name in CLASSES:
        of_class = sum(job.class_name == name for job in paused)
        assert of_class <= bench.scheduler.width, "too many paused"
    first = min(bench.tier_of(job) for job in bench.queued.values())
    longest = timedelta(seconds=MAX_QUANTUM_S)
    for name, job in bench.running.items():
        if bench.tier_of(job) > first and bench.is_pausable(job):
            assert bench.now - bench.got_slot[name] < longest, "held beyond a quantum"
            assert bench.scheduler.next_wake() <= bench.got_slot[name] + 1.01 * longest


class SteadySpeed(SpeedEstimate):
    """A speed that is the same whatever runs."""

    def advance(self, now):
        """Ignore time."""

    def add_tokens(self, count):
        """Ignore tokens."""

    def add_first_token(self, seconds):
        """Ignore the time to the first token."""


@when("one scheduler gets all jobs and another those of the lowest-numbered tier")
def drive_twins(context):
    text = "[defaults]\nfloor = 0.01\nqueue_limit = 20" + KINDS
    text = text.replace("= false", "= true")

    @settings(max_examples=200)
    @for_any(context.cases, st.integers(1, 3))
    def check(events, width):
        full = Bench(text, width=width, max_queued=4)
        alone = Bench(text, width=width, max_queued=4)
        for bench in (full, alone):
            bench.scheduler.speed = SteadySpeed()
        for event in events:
            if full.now - START <= FLOOR_FREE:
                check_twins(full, alone, event)

    context.check = check


def check_twins(full, alone, event):
    """Let an event happen to both and compare the lowest-numbered tier."""
    match event:
        case ("offer", class_name, workspace, deadline_s):
            job = full.make_job(class_name, workspace, deadline_s)
            admission = full.offer(job)
            alone.number += 1
            if full.tier_of(job) == 1:
                twin = alone.make_job(class_name, workspace, deadline_s)
                twin.attempt_id = job.attempt_id
                assert alone.offer(twin) == admission
        case ("wait", _):
            full.handle(event)
            alone.handle(event)
        case ("end", index) if name := full.pick(index, full.running):
            full.end(name)
            if name in alone.running:
                alone.end(name)
    started = []
    for bench in (full, alone):
        actions = bench.act()
        for name in bench.running:
            bench.scheduler.note_tokens(name, 1)
        urgent = [action for action in actions if bench.tier_of(action.job) == 1]
        started.append(named(urgent))
    assert started[0] == started[1], started


@then("both return the same actions")
@then("slots, places, preemption and refusals keep to the rules")
@then("both admit and start the jobs of that tier alike")
@then("each gets a slot within the bound, and its share over time")
@then("the served tokens over weight differ by a bounded amount")
@then("the estimate is near the true quantile, before and after some tokens")
def run_check(context):
    context.check()


@when("jobs of classes with any floors wait behind urgent jobs without end")
def wait_for_floor(context):
    @settings(max_examples=25)
    @for_any(FLOORS, st.integers(1, 6), st.sampled_from([0.1, 0.7, 2.0]))
    def check(floors, width, service_s):
        check_floors(floors, width, service_s)

    context.check = check


def check_floors(floors, width, service_s):
    """Run urgent jobs without end and check that each other class gets its share."""
    text = "[defaults]\nqueue_limit = 86400\n[class urgent]\ntier = 1\n"
    for tier, floor in enumerate(floors, start=2):
        text += f"[class c{tier}]\ntier = {tier}\nfinish = 86400\nfloor = {floor}\n"
    bench = Bench(text, width=width)
    for tier, _ in enumerate(floors, start=2):
        for _ in range(width):
            bench.offer(bench.make_job(f"c{tier}"))
    bounds = {
        f"c{tier}": floor_wait_bound(
            floor=floor,
            floor_sum=sum(floors),
            width=width,
            classes=len(floors),
            release_s=service_s,
        )
        for tier, floor in enumerate(floors, start=2)
    }
    duration_s = 2 * max(bounds.values())
    held_s = run_urgent_jobs(bench, bounds, service_s, duration_s)
    for tier, floor in enumerate(floors, start=2):
        share = scaled_floor(floor, sum(floors)) * width
        late_s = bounds[f"c{tier}"]
        assert held_s[f"c{tier}"] >= share * (duration_s - late_s), (tier, held_s)


def run_urgent_jobs(bench, bounds, service_s, duration_s):
    """Return the slot-seconds that each class held."""
    held_s = dict.fromkeys(bounds, 0.0)
    last_held = dict.fromkeys(bounds, START)
    urgent = 0
    while bench.now < START + timedelta(seconds=duration_s):
        while sum(j.class_name == "urgent" for j in bench.queued.values()) < 2:
            bench.offer(bench.make_job("urgent"))
        bench.act()
        begun, bench.now = bench.now, next_event(bench, service_s)
        for job in bench.running.values():
            if job.class_name != "urgent":
                held_s[job.class_name] += (bench.now - begun).total_seconds()
                last_held[job.class_name] = bench.now
        for name, bound in bounds.items():
            assert (bench.now - last_held[name]).total_seconds() <= bound, name
        for name, job in list(bench.running.items()):
            is_over = bench.now - bench.got_slot[name] >= timedelta(seconds=service_s)
            if job.class_name == "urgent" and is_over:
                bench.end(name)
                urgent += 1
    assert urgent, "urgent jobs did not run"
    return held_s


def next_event(bench, service_s):
    ends = [
        bench.got_slot[name] + timedelta(seconds=service_s)
        for name, job in bench.running.items()
        if job.class_name == "urgent"
    ]
    wake = bench.scheduler.next_wake()
    return min(ends + ([wake] if wake else []))


@when("jobs of workspaces with any weights run, those of one workspace offered first")
def run_fair(context):
    @settings(max_examples=30)
    @for_any(WEIGHTS, st.integers(1, 3), st.randoms(use_true_random=False))
    def check(weights, width, chooser):
        text = "[defaults]\nqueue_limit = 86400\n[class c]\ntier = 1\n"
        for number, weight in enumerate(weights):
            text += f"[workspace w{number}]\nweight = {weight}\n"
        bench = Bench(text, width=width)
        served = {f"w{number}": 0.0 for number in range(len(weights))}
        for workspace in served:
            for _ in range(150):
                bench.offer(bench.make_job("c", workspace))
        for _ in range(150):
            bench.act()
            name = bench.pick(chooser.randrange(99), bench.running)
            job, tokens = bench.running[name], chooser.randint(1, FAIR_QUANTUM_TOKENS)
            bench.scheduler.note_tokens(name, tokens)
            bench.end(name)
            weight = weights[int(job.workspace[1:])]
            served[job.workspace] += tokens / weight
        jobs = (1 + width) * 2 * FAIR_QUANTUM_TOKENS / min(weights)
        spread = max(served.values()) - min(served.values())
        assert spread <= FAIR_QUANTUM_TOKENS + jobs, served

    context.check = check


@given("an engine at 40 tokens a second in each slot")
def steady_engine(context):
    context.speed, context.time = SpeedEstimate(), 0.0
    context.speed.generating = 8
    run_engine(context, tokens_per_s=40, seconds=10)
    assert 38 < context.speed.tokens_per_s() < 42, context.speed.tokens_per_s()


@then("three seconds after slowing to an eighth it is held to be below a fifth")
def check_slow(context):
    run_engine(context, tokens_per_s=5, seconds=3)
    assert 5 <= context.speed.tokens_per_s() < 8, context.speed.tokens_per_s()


def run_engine(context, *, tokens_per_s, seconds):
    for _ in range(int(seconds * tokens_per_s)):
        context.time += 1 / tokens_per_s
        context.speed.advance(context.time)
        context.speed.add_tokens(8)


@when("any output lengths are learnt, one in a hundred a thousand times longer")
def learn_lengths(context):
    @settings(max_examples=50)
    @for_any(LENGTHS, st.sampled_from([0.25, 0.5, 0.75]), st.integers(0, 300))
    def check(lengths, quantile, generated):
        lengths = [n * 1000 if i % 100 == 0 else n for i, n in enumerate(lengths)]
        sketch = LengthSketch()
        for length in lengths:
            sketch.add(length)
        # A bucket is half an octave wide, so both edges count as near.
        longer = sorted(n for n in lengths if n > generated * 2**0.5)
        if len(longer) < 10:
            return
        true = longer[min(len(longer) - 1, int(quantile * len(longer)))]
        found = generated + sketch.remaining(generated, quantile)
        assert true / 2 <= found <= 2 * true + 1, (true, found)

    context.check = check


@then("half of answers of 10 tokens and half of 1000 leave over 500 after 100")
def check_remaining(context):
    sketch = LengthSketch()
    for length in [10, 1000] * 50:
        sketch.add(length)
    assert 500 <= sketch.remaining(100, 0.5) <= 2000, sketch.remaining(100, 0.5)


@given("an engine of {width:d} slots, a limit of {limit:d} s and {places:d} places")
def small_engine(context, width, limit, places):
    text = f"[defaults]\nfloor = 0.15\nqueue_limit = {limit}" + KINDS
    context.bench = Bench(text, width=width, max_queued=places)
    context.actions, context.admissions = [], []


@given("an engine of {width:d} slots that serves by {order}")
def engine_with_order(context, width, order):
    text = "[defaults]\nqueue_limit = 86400" + KINDS
    context.bench = Bench(text, width=width, order=order)
    context.actions, context.admissions = [], []


@given(
    "an engine of {width:d} slots, a limit of {limit:g} s, {places:d} places and "
    "no early refusal"
)
def engine_without_early_refusal(context, width, limit, places):
    text = f"[defaults]\nqueue_limit = {limit}" + KINDS
    context.bench = Bench(text, width=width, max_queued=places, admission="places")
    context.actions, context.admissions = [], []


@given("prompts of {count:d} bytes")
def give_prompts(context, count):
    context.bench.prompt_bytes = count


@when('"{names}" are offered')
def offer_jobs(context, names):
    for name in names.split():
        class_name, _, workspace = name.partition("/")
        job = context.bench.make_job(class_name, workspace or "w")
        context.admissions.append(context.bench.offer(job))
        context.actions += named(context.bench.act())


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.bench.now += timedelta(seconds=seconds)


@when("job {name} ends")
def end_job(context, name):
    context.bench.end(name)
    context.actions += named(context.bench.act())


@when("job {name} ends as a question arrives")
def end_as_question_arrives(context, name):
    context.bench.end(name)
    offer_jobs(context, "question")


@when("job {name} generates {count:d} tokens")
def generate(context, name, count):
    context.bench.scheduler.note_tokens(name, count)


@when("the next wake comes")
def next_wake_comes(context):
    context.bench.now = context.bench.scheduler.next_wake()
    context.actions += named(context.bench.act())


@when("frame queries of one workspace are offered until one is refused")
def offer_until_refused(context):
    offer_jobs(context, "frame")
    while context.admissions[-1].is_admitted:
        offer_jobs(context, "frame")


@then('the actions are "{expected}"')
def check_actions(context, expected):
    found = ", ".join(" ".join(action) for action in context.actions)
    context.actions = []
    assert found == expected, found


@then('the last offers are "{expected}"')
def check_offers(context, expected):
    count = len(expected.split())
    last = context.admissions[-count:]
    found = ["admitted" if a.is_admitted else "refused" for a in last]
    assert found == expected.split(), last
    refused = [a for a in last if not a.is_admitted]
    assert all(a.reason is RefusalReason.OVERLOADED for a in refused)


@then("the wait predicted for a dossier is longer once a question came and went")
def check_demand(context):
    context.bench.scheduler.speed = SteadySpeed()
    newcomer = context.bench.make_job("dossier")
    before = context.bench.offer(newcomer).wait
    context.bench.end("3")
    offer_jobs(context, "question")
    end_job(context, "4")
    assert context.bench.offer(context.bench.make_job("dossier")).wait > before
