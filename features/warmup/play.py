"""Simulation of gateways that all want to send to one cold endpoint."""

import heapq
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random

from zinniaramp.warmup import ColdAllowance, ColdBounds, Membership

START = datetime(2026, 1, 1, tzinfo=UTC)
ENDPOINT = "e-1@1"
STEP_SECONDS = 0.01
GOSSIP_SECONDS = 0.5
"""Interval at which processes in contact tell each other whom they know."""

LOST_SECONDS = 45
"""Time until a process gives up an unreachable one."""

SEEDS = 3
UNDISTURBED_SECONDS = 8
GROUP_SECONDS = (3, 15)
RESTART_SECONDS = (0.5, 2)
RESTARTS_PER_SECOND = 1.0
FREEZE_SECONDS = (0.5, 5)
FREEZE_PROBABILITY = 0.05
LATE_PROBABILITY = 0.05
LATE_SECONDS = (0.2, 0.9)
"""Delay of a request whose packets are sent again."""

TRIES_PER_STEP = 40


@dataclass(slots=True, kw_only=True)
class Load:
    """What is played."""

    gateways: int
    rate: float
    bounds: ColdBounds = ColdBounds()
    groups: int = 0
    is_random: bool = False
    restarts: bool = False
    restarts_all: bool = False
    freezes: bool = False
    seconds: float = 30.0
    seed: int = 1


class Gateway:
    """One gateway process, with the state that a restart loses."""

    def __init__(self, play, number):
        self.number = number
        self.address = f"10.0.{number // 250}.{number % 250}:8000"
        self.up_at = 0.0
        self.frozen_until = 0.0
        self.group = 0
        self.start(play)

    def start(self, play):
        """Start the process with empty state."""
        self.membership = Membership(own_address=self.address, seeds=play.seeds)
        for seed in play.seeds:
            self.membership.add(seed)
        self.last_contact = {}
        self.allowance = ColdAllowance(
            clock=play.clock,
            random=play.random,
            own_address=self.address,
            members=lambda: self.membership.members(play.now),
            bounds=lambda: play.load.bounds,
        )


class Play:
    """The play of one load."""

    def __init__(self, load):
        self.load = load
        self.random = Random(load.seed)
        self.now = 0.0
        self.order = count()
        self.due = []
        self.arrivals = []
        seeds = min(SEEDS, load.gateways)
        self.seeds = [f"10.0.0.{number}:8000" for number in range(seeds)]
        self.gateways = [Gateway(self, number) for number in range(load.gateways)]
        self.regroup_at = float(UNDISTURBED_SECONDS)

    def clock(self):
        """Return the simulated time."""
        return START + timedelta(seconds=self.now)

    def later(self, seconds, action):
        """Call a function after some time."""
        heapq.heappush(self.due, (self.now + seconds, next(self.order), action))

    def run(self):
        """Play the load and return the times at which requests arrived."""
        gossip_at = 0.0
        while self.now < self.load.seconds:
            while self.due and self.due[0][0] <= self.now:
                heapq.heappop(self.due)[2]()
            if self.now >= gossip_at:
                self.gossip()
                gossip_at += GOSSIP_SECONDS
            if self.now >= UNDISTURBED_SECONDS:
                self.disturb()
            for _ in range(min(TRIES_PER_STEP, len(self.gateways))):
                self.try_send(self.random.choice(self.gateways))
            self.now = round(self.now + STEP_SECONDS, 6)
        return sorted(self.arrivals)

    def is_running(self, gateway):
        """Return whether a process runs now."""
        return self.now >= max(gateway.up_at, gateway.frozen_until)

    def gossip(self):
        """Let the processes in contact tell each other whom they know."""
        groups = {}
        for gateway in self.gateways:
            if self.is_running(gateway):
                groups.setdefault(gateway.group, []).append(gateway)
        for members in groups.values():
            addresses = [gateway.address for gateway in members]
            known = {
                address
                for gateway in members
                for address, lost_at in gateway.membership.lost_at.items()
                if lost_at is None
            }
            for gateway in members:
                self.tell(gateway, addresses, known)

    def tell(self, gateway, addresses, known):
        """Let a process hear of others and give up those that it can't reach."""
        others = [one for one in addresses if one != gateway.address]
        # A restarted process hears of the others through a connection, so not if alone.
        for address in [*others, *known] if others else ():
            gateway.membership.add(address)
            gateway.last_contact.setdefault(address, self.now)
        for address in others:
            gateway.last_contact[address] = self.now
        for address, at in gateway.last_contact.items():
            if self.now - at > LOST_SECONDS and address not in self.seeds:
                gateway.membership.mark_lost(address, self.now)
        gateway.membership.record_contacts(others, others, self.now)

    def disturb(self):
        """Change the groups and restart processes."""
        load, random = self.load, self.random
        if load.groups and self.now >= self.regroup_at:
            self.regroup_at = self.now + random.uniform(*GROUP_SECONDS)
            if not load.is_random:
                self.regroup_at = load.seconds
            groups = random.randint(1, 3) if load.is_random else load.groups
            for gateway in self.gateways:
                gateway.group = random.randrange(groups)
                if load.restarts_all:
                    self.restart(gateway)
        if load.restarts and random.random() < RESTARTS_PER_SECOND * STEP_SECONDS:
            chosen = random.sample(self.gateways, max(1, len(self.gateways) // 10))
            for gateway in chosen:
                self.restart(gateway)

    def restart(self, gateway):
        """Kill a process and start it again."""
        gateway.up_at = self.now + self.random.uniform(*RESTART_SECONDS)
        gateway.start(self)

    def try_send(self, gateway):
        """Send a request if the gateway may."""
        if not self.is_running(gateway):
            return
        allowance = gateway.allowance
        if allowance.opens_in(ENDPOINT, self.load.rate) != timedelta():
            return
        number = next(self.order)
        allowance.begin(number, ENDPOINT)
        delay = self.random.uniform(0.001, 0.005)
        if self.load.freezes and self.random.random() < FREEZE_PROBABILITY:
            # The process stops between the selection and the write.
            gateway.frozen_until = self.now + self.random.uniform(*FREEZE_SECONDS)
            delay += gateway.frozen_until - self.now

        def write():
            if gateway.allowance is not allowance:
                return
            allowance.finish(number)
            late = self.random.random() < LATE_PROBABILITY
            extra = self.random.uniform(*LATE_SECONDS) if late else 0.0
            self.arrivals.append(self.now + extra)
            for other in self.gateways:
                is_heard = other.group == gateway.group and self.is_running(other)
                if is_heard and other is not gateway:
                    other.allowance.record_heard(ENDPOINT)

        self.later(delay, write)


def most_in_a_second(times):
    """Return the largest number of arrivals in any second."""
    first, most = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
