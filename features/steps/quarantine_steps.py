"""Steps for the quarantine of prompt segments, without a network."""

from datetime import timedelta

from behave import given, then, when

from features.quarantine.play import START, Load, Play
from zinniaramp.quarantine import CrashQuarantine
from zinniaramp.quarantine.core import REPORT_TIME

FIRST_SEED = 1


@given("{engines:d} engines and {gateways:d} gateways with {rate:d} sound requests/s")
def describe_load(context, engines, gateways, rate):
    context.load = Load(
        engines=engines, gateways=gateways, sound_rate=rate, bad_rate=0.0
    )


@given(
    "{rate:g} requests/s whose {place} segment crashes an engine within {seconds:g} s"
)
def describe_bad_requests(context, rate, place, seconds):
    load = context.load
    load.bad_rate = rate
    load.crash_seconds = seconds
    load.is_first = place == "first"
    load.has_company = place != "only"


@given("{count:d} engine crashes without a cause every {seconds:d} s on average")
@given("{count:d} engines crash without a cause every {seconds:d} s on average")
def describe_other_crashes(context, count, seconds):
    context.load.other_crash_interval = seconds
    context.load.engines_per_crash = count


@given("{count:d} gateway exchanges nothing with the others")
def describe_cut_off(context, count):
    context.load.cut_off = count


@when("the load is played {count:d} times for {seconds:d} s")
def play_load(context, count, seconds):
    context.plays = []
    for seed in range(FIRST_SEED, FIRST_SEED + count):
        play = Play(load=context.load, seed=seed)
        play.run(seconds)
        context.plays.append(play)


@then(
    "no play has more than {count:d} sends of the segment from {seconds:d} s after "
    "the fifth crash"
)
def check_bad_sends(context, count, seconds):
    late = [len(play.report.late_bad_sends(seconds)) for play in context.plays]
    assert all(play.report.crashes for play in context.plays)
    assert max(late) <= count, late


@then("the connected gateways keep to {count:d} sends of the segment")
def check_connected_bad_sends(context, count):
    cut_off = context.load.cut_off
    late = [
        [sender for _, sender in play.report.late_bad_sends(3) if sender >= cut_off]
        for play in context.plays
    ]
    assert all(len(senders) <= count for senders in late), late


@then(
    "in no play over a tenth of the sound requests is refused from {seconds:d} s "
    "after it"
)
def check_refused_share(context, seconds):
    shares = [play.report.refused_share(seconds) for play in context.plays]
    assert max(shares) <= 0.1, shares


@then("no sound segment is quarantined")
def check_no_quarantine(context):
    names = [
        set().union(*(gateway.quarantines for gateway in play.gateways))
        for play in context.plays
    ]
    assert not any(names), names


class SteppedClock:
    """Clock that the steps advance."""

    def __init__(self):
        self.now = START

    def __call__(self):
        """Return the time."""
        return self.now

    def advance(self, seconds):
        """Advance the time."""
        self.now += timedelta(seconds=seconds)


def send_and_crash(context, number):
    """Send a request with the segment to an engine, which crashes."""
    engine = f"e-{number}"
    context.quarantine.add(number, engine, ("common", "bad"))
    context.quarantine.add(-number, "other", ("common", "good"))
    context.quarantine.record_first_event(-number)
    context.clock.advance(1)
    context.quarantine.record_crash(engine, context.clock())
    context.clock.advance(REPORT_TIME.total_seconds())
    context.quarantine.find(())


@given('a gateway that has seen {count:d} crashes under the segment "bad"')
def see_crashes(context, count):
    context.clock = SteppedClock()
    context.quarantine = CrashQuarantine(clock=context.clock)
    for number in range(1, count + 1):
        send_and_crash(context, number)


@given('a gateway that has quarantined the segment "bad"')
def quarantine_segment(context):
    see_crashes(context, 3)
    assert set(context.quarantine.quarantines) == {"bad"}


@when("its quarantine is over and a request with it crashes an engine")
def crash_after_quarantine(context):
    context.clock.advance(601)
    assert context.quarantine.find(("bad",)) is None
    send_and_crash(context, 4)


@when("its quarantine is over and a request with it is answered")
def answer_after_quarantine(context):
    context.clock.advance(601)
    context.quarantine.add("sound", "e-9", ("bad",))
    context.quarantine.record_first_event("sound")
    context.clock.advance(1)


@when("the engine of a third one answers another request")
def withdraw_crash(context):
    send_and_crash_undecided(context)
    context.quarantine.add("later", "e-3", ("good",))
    context.quarantine.record_first_event("later")
    context.clock.advance(1)


def send_and_crash_undecided(context):
    """Record a third crash without asking for the decision."""
    context.quarantine.add(3, "e-3", ("bad",))
    context.clock.advance(1)
    context.quarantine.record_crash("e-3", context.clock())
    context.clock.advance(0.01)


@then('requests with the segment "bad" are refused for {hours:d} hours')
def check_refused_for(context, hours):
    quarantine = context.quarantine.find(("bad",))
    duration = quarantine.until - quarantine.since
    assert duration == timedelta(hours=hours), duration


@then('requests with the segment "bad" are sent')
def check_sent(context):
    assert context.quarantine.find(("common", "bad")) is None


@then("they are sent also after a crash")
def check_sent_after_crash(context):
    send_and_crash(context, 5)
    check_sent(context)


@when("another gateway connects to it")
def connect_other(context):
    context.other = CrashQuarantine(clock=context.clock)
    for one in context.quarantine.active():
        left = one.until - context.clock()
        context.other.impose(one.name, left, one.relapses, "10.0.0.1:1")


@then('the other gateway refuses requests with the segment "bad"')
def check_other_refuses(context):
    assert context.other.find(("bad",)) is not None
    assert context.other.find(("common", "good")) is None
