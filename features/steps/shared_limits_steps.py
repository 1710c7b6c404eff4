"""Steps for request rates that gateways share, without a network."""

import heapq
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random

from behave import given, then, when

from zinniaramp.routing.shared_limits import SharedLimits

START = datetime(2026, 1, 1, tzinfo=UTC)
ENDPOINT = "e-1"
WINDOW_SECONDS = 4
MESSAGE_SECONDS = 0.01
"""Time until a gateway hears of another one's request."""


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
