"""Simulation of a load with a prompt segment that crashes engines."""

import heapq
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from functools import partial
from itertools import count
from random import Random

from zinniaramp.quarantine import CrashQuarantine

START = datetime(2026, 1, 1, tzinfo=UTC)
COUNTED_CRASHES = 5
"""Crashes under a segment after which its sends are limited."""


@dataclass(slots=True, kw_only=True)
class Load:
    """What a simulation plays.

    Parameters
    ----------
    engines, gateways : int
        Number of engines and of gateway processes.
    sound_rate, bad_rate : float
        Requests per second without and with the segment that crashes engines.
    answer_seconds : float
        Longest duration of an answer.
    crash_seconds : float
        Longest time from the beginning of an answer to the crash.
    restart_seconds : float
        Time until a crashed engine is back.
    is_first : bool
        Whether the segment is the first one of its prompts.
    has_company : bool
        Whether its prompts have a second segment, which sound ones share.
    other_crash_interval : float
        Mean time between crashes that no request causes, in seconds; 0 for none.
    engines_per_crash : int
        Number of engines that such a crash ends at the same moment.
    message_delay : float
        Time until a gateway learns of another one's events, in seconds.
    cut_off : int
        Number of gateways that exchange nothing with the others.
    """

    engines: int = 5
    gateways: int = 5
    sound_rate: float = 15.0
    bad_rate: float = 2.0
    answer_seconds: float = 4.0
    crash_seconds: float = 0.1
    restart_seconds: float = 4.0
    is_first: bool = False
    has_company: bool = True
    other_crash_interval: float = 0.0
    engines_per_crash: int = 1
    message_delay: float = 0.01
    cut_off: int = 0


@dataclass(slots=True, kw_only=True)
class Report:
    """What callers and engines see.

    Parameters
    ----------
    crashes : list of float
        Times of the crashes that the segment caused, in seconds.
    bad_sends : list of tuple
        Time and gateway of each send with the segment.
    sound_requests : list of tuple
        Time of each sound request and whether it was refused.
    """

    crashes: list[float] = field(default_factory=list)
    bad_sends: list[tuple[float, int]] = field(default_factory=list)
    sound_requests: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def counted_from(self) -> float:
        """Time of the fifth crash, or of the last one if there are fewer."""
        return self.crashes[:COUNTED_CRASHES][-1] if self.crashes else 0.0

    def late_bad_sends(self, seconds) -> list[tuple[float, int]]:
        """Return the sends with the segment some time after the fifth crash."""
        if len(self.crashes) < COUNTED_CRASHES:
            return []
        limit = self.counted_from + seconds
        return [one for one in self.bad_sends if one[0] > limit]

    def refused_share(self, seconds) -> float:
        """Return the share of sound requests refused some time after the crash."""
        limit = self.counted_from + seconds
        refused = [is_refused for at, is_refused in self.sound_requests if at > limit]
        return sum(refused) / max(1, len(refused))


class Play:
    """Plays a load on engines and on the quarantines of several gateways."""

    def __init__(self, *, load: Load, seed: int):
        self.load = load
        self.random = Random(seed)
        self.now = 0.0
        self.tasks: list = []
        self.order = count()
        self.keys = count()
        self.gateways = [
            CrashQuarantine(clock=self.clock) for _ in range(load.gateways)
        ]
        for number, gateway in enumerate(self.gateways):
            gateway.on_quarantine = self.make_announcer(number)
            gateway.on_release = partial(self.tell, number, "release")
        self.incarnations = {number: 0 for number in range(load.engines)}
        self.running: dict[str, set] = {
            self.name(one): set() for one in self.incarnations
        }
        self.report = Report()

    def clock(self):
        """Return the simulated time."""
        return START + timedelta(seconds=self.now)

    def name(self, engine):
        """Return the incarnation of an engine."""
        return f"e-{engine}@{self.incarnations[engine]}"

    def later(self, seconds, function, *arguments):
        """Call a function after some time."""
        at = self.now + seconds
        heapq.heappush(self.tasks, (at, next(self.order), function, arguments))

    def make_announcer(self, sender):
        """Return what tells the other gateways of a quarantine."""

        def announce(quarantine):
            left = quarantine.until - self.clock()
            self.tell(sender, "impose", quarantine.name, left, 0, f"g-{sender}")

        return announce

    def tell(self, sender, method, *arguments):
        """Apply an event at all gateways, at once or after the delay of a message."""
        connected = range(self.load.cut_off, len(self.gateways))
        for number, gateway in enumerate(self.gateways):
            if number == sender:
                if method != "impose":
                    getattr(gateway, method)(*arguments)
            elif number in connected and sender in connected:
                delay = self.load.message_delay * self.random.uniform(0.5, 1.5)
                self.later(delay, getattr(gateway, method), *arguments)

    def run(self, seconds):
        """Play the load for some time and return the report."""
        self.schedule_sound()
        if self.load.bad_rate:
            self.schedule_bad()
        if self.load.other_crash_interval:
            self.schedule_other_crash()
        while self.tasks:
            at, _, function, arguments = heapq.heappop(self.tasks)
            if at > seconds:
                break
            self.now = at
            function(*arguments)
        return self.report

    def schedule_sound(self):
        """Send sound requests at random times."""
        self.later(self.random.expovariate(self.load.sound_rate), self.send_sound)

    def schedule_bad(self):
        """Send requests with the segment at random times."""
        self.later(self.random.expovariate(self.load.bad_rate), self.send_bad)

    def schedule_other_crash(self):
        """End engines for reasons of their own at random times."""
        interval = self.load.other_crash_interval
        self.later(self.random.expovariate(1 / interval), self.crash_others)

    def draw_subject(self):
        """Return a segment that sound requests share; some are frequent."""
        return f"subject-{int(self.random.expovariate(1 / 12))}"

    def send_sound(self):
        """Send a sound request."""
        self.schedule_sound()
        names = [self.draw_subject()]
        if self.random.random() < 0.6:
            names = [f"workspace-{int(self.random.expovariate(1))}", *names]
        is_sent = self.send(tuple(names), is_bad=False)
        self.report.sound_requests.append((self.now, not is_sent))

    def send_bad(self):
        """Send a request with the segment that crashes engines."""
        self.schedule_bad()
        names = ["bad"]
        if self.load.has_company:
            company = "workspace-0" if not self.load.is_first else self.draw_subject()
            names.insert(len(names) if self.load.is_first else 0, company)
        self.send(tuple(names), is_bad=True)

    def send(self, names, *, is_bad):
        """Send a request unless its gateway refuses it; return whether it was sent."""
        sender = self.random.randrange(len(self.gateways))
        if self.gateways[sender].find(names) is not None:
            return False
        # Most prompts go where their first segment is cached.
        preferred = sum(names[0].encode()) % self.load.engines
        others = list(self.incarnations)
        chosen = preferred if self.random.random() < 0.6 else self.random.choice(others)
        engine = self.name(chosen)
        if engine not in self.running:
            running = list(self.running)
            if not running:
                return True
            engine = self.random.choice(running)
        if is_bad:
            self.report.bad_sends.append((self.now, sender))
        key = next(self.keys)
        self.running[engine].add((sender, key))
        self.tell(sender, "add", key, engine, names)
        self.later(
            self.random.uniform(0.05, 0.8), self.begin, sender, key, engine, is_bad
        )
        return True

    def begin(self, sender, key, engine, is_bad):
        """Begin the answer to a request."""
        if engine not in self.running:
            return
        if is_bad:
            delay = self.random.uniform(0, self.load.crash_seconds)
            self.later(delay, self.crash, engine, True)
        if not is_bad or self.random.random() < 0.5:
            self.tell(sender, "record_first_event", key)
        duration = self.random.uniform(0.1, self.load.answer_seconds)
        self.later(duration, self.end, sender, key, engine)

    def end(self, sender, key, engine):
        """End an answer."""
        if engine in self.running:
            self.running[engine].discard((sender, key))
            self.tell(sender, "record_end", key)

    def crash(self, engine, is_caused):
        """End an engine; the gateways whose sends it closes report the crash."""
        if engine not in self.running:
            return
        closed = self.running.pop(engine)
        if is_caused:
            self.report.crashes.append(self.now)
        number = int(engine.partition("@")[0].removeprefix("e-"))
        self.later(self.load.restart_seconds, self.restart, number)
        for sender, key in closed:
            self.tell(sender, "record_end", key)
        for sender in {sender for sender, _ in closed}:
            self.tell(sender, "record_crash", engine, self.clock())

    def crash_others(self):
        """End some engines at the same moment."""
        self.schedule_other_crash()
        running = sorted(self.running)
        ended = min(len(running), self.load.engines_per_crash)
        for engine in self.random.sample(running, ended):
            self.crash(engine, False)

    def restart(self, number):
        """Start an engine again, as another incarnation."""
        self.incarnations[number] += 1
        self.running[self.name(number)] = set()
