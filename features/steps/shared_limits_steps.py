"""Steps for request rates that gateways share, without a network."""

import heapq
from datetime import UTC, datetime, timedelta
from functools import partial
from itertools import count
from random import Random

from behave import given, then, when

from zinniaramp.routing.shared_limits import SharedLimits

START = datetime(2026, 1, 1, tzinfo=UTC)
ENDPOINT = "e-1"
WINDOW_SECONDS = 4
MESSAGE_SECONDS = 0.01
"""Time until a gateway hears of another one's request."""

MAX_DELAY_SECONDS = 0.5
CHANGE_SECONDS = 0.1
CHANGING_SECONDS = 10
PLAY_SECONDS = 60
ANSWER_SECONDS = 0.05
RATES = (None, 1.0, 5.0)


class SharedRatePlay:
    """Plays requests at random times on gateways that hear of each other's sends."""

    def __init__(self, *, gateways, cut_off):
        self.random = Random(1)
        self.now = 0.0
        self.order = count()
        self.cut_off = cut_off
        self.sent = []
        self.rate = None
        self.gateways = [
            SharedLimits(
                clock=self.clock,
                random=self.random,
                visible_share=self.make_visible_share(number, gateways),
            )
            for number in range(gateways)
        ]

    def clock(self):
        """Return the simulated time."""
        return START + timedelta(seconds=self.now)

    def make_visible_share(self, number, gateways):
        """Return the function of the share of gateways that one hears of."""
        heard = 1 if number < self.cut_off else gateways - self.cut_off
        return lambda: heard / gateways

    def apply(self, rate):
        """Let all gateways know the rate that the endpoint names."""
        self.rate = rate
        for gateway in self.gateways:
            gateway.apply(ENDPOINT, rate)

    def offer(self, demand, seconds):
        """Offer requests at random times, at a mean rate."""
        end = self.now + seconds
        messages = []
        while self.now < end:
            arrival = self.now + self.random.expovariate(demand)
            while messages and messages[0][0] <= arrival:
                self.now, _, gateway = heapq.heappop(messages)
                gateway.record(ENDPOINT)
            self.now = arrival
            self.arrive(messages)

    def arrive(self, messages):
        """Send one request if its gateway may, and let the others know."""
        number = self.random.randrange(len(self.gateways))
        if not self.gateways[number].usable([ENDPOINT]):
            return
        self.sent.append(self.now)
        self.gateways[number].record(ENDPOINT)
        if number < self.cut_off:
            return
        for other in range(self.cut_off, len(self.gateways)):
            if other != number:
                due = self.now + MESSAGE_SECONDS
                gateway = self.gateways[other]
                heapq.heappush(messages, (due, next(self.order), gateway))


class AgreementPlay:
    """Plays requests, answers that name a rate or none, and reports that cross."""

    def __init__(self, *, gateways, peers, seed):
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.pending = []
        self.rate = None
        self.gateways = [
            SharedLimits(clock=self.clock, random=self.random, visible_share=lambda: 1)
            for _ in range(gateways)
        ]
        self.peers = [
            [(number + step) % gateways for step in self.steps(peers)]
            for number in range(gateways)
        ]

    @staticmethod
    def steps(peers):
        """Return the distances to the nearest `peers` gateways in a ring."""
        return [
            step * side for step in range(1, (peers + 1) // 2 + 1) for side in (1, -1)
        ]

    def clock(self):
        """Return the simulated time."""
        return START + timedelta(seconds=self.now)

    def schedule(self, delay, action):
        """Run an action once a time has passed."""
        heapq.heappush(self.pending, (self.now + delay, next(self.order), action))

    def play(self, *, demand, rate):
        """Offer requests while the rate changes, and after that."""
        for number in range(round(CHANGING_SECONDS / CHANGE_SECONDS)):
            choice = self.random.choice(RATES)
            self.schedule(number * CHANGE_SECONDS, partial(self.set_rate, choice))
        self.schedule(CHANGING_SECONDS, partial(self.set_rate, rate))
        self.schedule(0, partial(self.arrive, demand))
        while self.pending:
            self.now, _, action = heapq.heappop(self.pending)
            action()

    def set_rate(self, rate):
        """Let the endpoint name a rate in its answers from now on."""
        self.rate = rate

    def arrive(self, demand):
        """Send one request if its gateway may, and wait for the next one."""
        if self.now > PLAY_SECONDS:
            return
        self.schedule(self.random.expovariate(demand), partial(self.arrive, demand))
        number = self.random.randrange(len(self.gateways))
        if not self.gateways[number].usable([ENDPOINT]):
            return
        self.gateways[number].record(ENDPOINT)
        self.broadcast(number, lambda peer: self.gateways[peer].record(ENDPOINT))
        self.schedule(ANSWER_SECONDS, partial(self.answer, number, self.rate))

    def answer(self, number, rate):
        """Apply an answer, and let the others know if it is news."""
        if self.gateways[number].apply(ENDPOINT, rate):
            self.report(number)

    def report(self, number):
        """Send a gateway's report to its peers."""
        report = self.gateways[number].report(ENDPOINT)
        self.broadcast(number, lambda peer: self.hear(peer, report))

    def hear(self, number, report):
        """Apply a report, and pass it on if it is news."""
        if self.gateways[number].apply_report(report):
            self.report(number)

    def broadcast(self, number, action):
        """Run an action for each peer of a gateway, with a delay of its own."""
        for peer in self.peers[number]:
            delay = self.random.uniform(0, MAX_DELAY_SECONDS)
            self.schedule(delay, partial(action, peer))


def highest_count(times):
    """Return the largest number of sends within the window."""
    return max(
        sum(first <= time < first + WINDOW_SECONDS for time in times) for first in times
    )


@given("{gateways:d} gateways, of which {cut_off:d} hear of no other")
def make_gateways(context, gateways, cut_off):
    context.play = SharedRatePlay(gateways=gateways, cut_off=cut_off)


@given("an endpoint that takes {rate:g} requests per second")
@when("the endpoint takes {rate:g} request per second")
def name_rate(context, rate):
    context.play.apply(rate)


@when("the endpoint names no rate")
def name_no_rate(context):
    context.play.apply(None)


@when("{demand:d} requests per second are offered to them for {seconds:d} s")
def offer_requests(context, demand, seconds):
    context.seconds = seconds
    context.play.offer(demand, seconds)


@then("no 4 s have more than 1.5 times the rate and 5 requests")
def check_rate(context):
    allowed = 1.5 * WINDOW_SECONDS * context.play.rate + 5
    seen = highest_count(context.play.sent)
    assert seen <= allowed, (seen, allowed)


@then("no 4 s of the last {seconds:d} s have more than {allowed:d} requests")
def check_last(context, seconds, allowed):
    play = context.play
    seen = highest_count([time for time in play.sent if time > play.now - seconds])
    assert seen <= allowed, seen


@then("at least {share:g} of the rate is used")
def check_used(context, share):
    play = context.play
    used = len(play.sent) / context.seconds / play.rate
    assert used >= share, used


@then("at least {least:d} requests are sent")
def check_sent_count(context, least):
    assert len(context.play.sent) >= least, len(context.play.sent)


@then("a request may be sent to it now")
def check_usable(context):
    assert all(one.usable([ENDPOINT]) for one in context.play.gateways)


@given("{gateways:d} gateways that hear of {peers:d} others, up to 0.5 s late")
def make_late_gateways(context, gateways, peers):
    context.plays = [
        AgreementPlay(gateways=gateways, peers=peers, seed=seed) for seed in range(20)
    ]


@given("an endpoint whose rate changes every 0.1 s for 10 s and is {rate} from then on")
def choose_last_rate(context, rate):
    context.rate = None if rate == "none" else float(rate)


@when("{demand:d} requests per second are sent to it and answered for 60 s")
def play_agreement(context, demand):
    for play in context.plays:
        play.play(demand=demand, rate=context.rate)


@then("all gateways know the rate {rate} in all of 20 plays")
def check_agreement(context, rate):
    known = [
        [one.report(ENDPOINT).rate for one in play.gateways] for play in context.plays
    ]
    wrong = [rates for rates in known if set(rates) != {context.rate}]
    assert not wrong, (len(wrong), wrong)
