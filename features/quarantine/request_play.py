"""Simulation of a load with requests that crash the plain endpoints that run them."""

from dataclasses import dataclass, field
from functools import partial

from features.quarantine.play import Load, Play
from zinniaramp.quarantine import CrashQuarantine

COUNTED_CRASHES = 3
"""Crashes under a request after which its sends are limited."""

RETRY_SECONDS = 0.033
"""Time from a crash until the retry of a request, which waits for the decision."""

SLOWEST_RUN = 1.5
"""Longest run of a sound request, as a multiple of the shortest."""


@dataclass(slots=True, kw_only=True)
class RequestLoad(Load):
    """What a simulation plays, beside the fields of `Load`.

    Parameters
    ----------
    bad_requests : int
        Number of different requests that crash endpoints.
    crash_share : float
        Share of their runs that crash the endpoint; the others are answered.
    sends_per_request : int
        Number of endpoints that a request may be sent to.
    run_seconds : float
        Duration of a run.
    sound_contents : float
        Mean of the exponential distribution from which sound requests are drawn.
    restart_gateways_at : float
        Time at which the gateways are restarted one after the other; 0 for never.
    """

    engines: int = 3
    bad_requests: int = 1
    crash_share: float = 1.0
    sends_per_request: int = 2
    run_seconds: float = 0.09
    sound_contents: float = 40.0
    restart_gateways_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class RequestReport:
    """What callers and endpoints see.

    Parameters
    ----------
    crashes : dict of list of float
        Times of the crashes by the request that caused them.
    sends : dict of list of tuple
        Time and gateway of each send of such a request.
    sound_requests : list of tuple
        Time of each sound request and whether it was refused.
    """

    crashes: dict[str, list[float]] = field(default_factory=dict)
    sends: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    sound_requests: list[tuple[float, bool]] = field(default_factory=list)

    def late_sends(self, seconds, *, connected_from=0) -> dict[str, int]:
        """Count the sends of each request some time after its third crash."""
        late = {}
        for name, crashes in self.crashes.items():
            if len(crashes) >= COUNTED_CRASHES:
                limit = crashes[COUNTED_CRASHES - 1] + seconds
                senders = [by for at, by in self.sends[name] if at > limit]
                late[name] = sum(by >= connected_from for by in senders)
        return late


class RequestPlay(Play):
    """Plays a load on plain endpoints and on the quarantines of several gateways."""

    def __init__(self, *, load: RequestLoad, seed: int):
        super().__init__(load=load, seed=seed)
        self.report = RequestReport()
        self.request_of_key: dict[int, tuple[int, str, int]] = {}
        for number, gateway in enumerate(self.gateways):
            self.connect(number, gateway)
        if load.restart_gateways_at:
            self.later(load.restart_gateways_at, self.restart_gateway, 0)

    def connect(self, number, gateway):
        """Let a gateway report what it finds out."""
        gateway.on_quarantine = self.make_announcer(number)
        gateway.on_release = partial(self.send_report, number, "release")
        gateway.on_survival = partial(self.send_report, number, "clear")

    def restart_gateway(self, number):
        """Start a gateway again, which adopts the quarantines of another one."""
        gateway = CrashQuarantine(clock=self.clock)
        for one in self.gateways[number - 1].active():
            gateway.impose(one.name, one.until - self.clock(), one.relapses, "peer")
        self.gateways[number] = gateway
        self.connect(number, gateway)
        if number + 1 < len(self.gateways):
            self.later(0.5, self.restart_gateway, number + 1)

    def send_report(self, sender, method, *arguments):
        """Apply an event at the other gateways after the delay of a message."""
        if sender < self.load.cut_off:
            return
        for number in range(self.load.cut_off, len(self.gateways)):
            if number != sender:
                delay = self.load.message_delay * self.random.uniform(0.5, 1.5)
                self.later(delay, self.receive, number, method, arguments)

    def receive(self, number, method, arguments):
        """Apply an event at one gateway."""
        if method == "crash":
            self.receive_crash(number, *arguments)
        else:
            getattr(self.gateways[number], method)(*arguments)

    def receive_crash(self, number, endpoint, fingerprints):
        """Record a reported crash, and report the gateway's own requests if any."""
        gateway = self.gateways[number]
        is_new = gateway.record_crash(endpoint, self.clock(), fingerprints)
        if is_new and gateway.crashes[endpoint].own_fingerprints:
            self.report_crash(number, endpoint)

    def report_crash(self, number, endpoint):
        """Report a crash to the other gateways."""
        own = self.gateways[number].crashes[endpoint].own_fingerprints
        self.send_report(number, "crash", endpoint, own)

    def tell(self, sender, method, *arguments):
        """Report a quarantine; the base class's announcer calls this."""
        self.send_report(sender, method, *arguments)

    def send_sound(self):
        """Send a sound request, often one that was sent before."""
        self.schedule_sound()
        content = int(self.random.expovariate(1 / self.load.sound_contents))
        is_refused = not self.send_request(f"request:sound-{content}", 1)
        self.report.sound_requests.append((self.now, is_refused))

    def send_bad(self):
        """Send one of the requests that crash endpoints."""
        self.schedule_bad()
        number = self.random.randrange(self.load.bad_requests)
        self.send_request(f"request:bad-{number}", 1)

    def send_request(self, fingerprint, attempt, sender=None):
        """Send a request unless its gateway refuses it; return whether it may."""
        if sender is None:
            sender = self.random.randrange(len(self.gateways))
        if self.gateways[sender].find((fingerprint,)) is not None:
            return False
        if not self.running:
            return True
        endpoint = self.random.choice(sorted(self.running))
        is_bad = "bad" in fingerprint
        if is_bad:
            self.report.sends.setdefault(fingerprint, []).append((self.now, sender))
        key = next(self.keys)
        self.request_of_key[key] = (sender, fingerprint, attempt)
        self.running[endpoint].add(key)
        self.gateways[sender].add(key, endpoint, (), fingerprint)
        if is_bad and self.random.random() < self.load.crash_share:
            delay = self.random.uniform(0, self.load.crash_seconds)
            self.later(delay, self.crash, endpoint, fingerprint)
        else:
            duration = self.load.run_seconds * self.random.uniform(1, SLOWEST_RUN)
            self.later(duration, self.answer, key, endpoint)
        return True

    def answer(self, key, endpoint):
        """Answer a request whose endpoint still runs."""
        if endpoint in self.running:
            self.running[endpoint].discard(key)
            sender, _, _ = self.request_of_key.pop(key)
            self.gateways[sender].record_answer(key)

    def crash(self, engine, cause):
        """End an endpoint; its requests are cut and may be sent again."""
        if engine not in self.running:
            return
        keys = self.running.pop(engine)
        if cause:
            self.report.crashes.setdefault(cause, []).append(self.now)
        number = int(engine.partition("@")[0].removeprefix("e-"))
        self.later(self.load.restart_seconds, self.restart, number)
        cut = [self.request_of_key.pop(key) for key in sorted(keys)]
        for key, (sender, _, _) in zip(sorted(keys), cut, strict=True):
            self.gateways[sender].record_end(key)
        for sender in sorted({sender for sender, _, _ in cut}):
            if self.gateways[sender].record_crash(engine, self.clock()):
                self.report_crash(sender, engine)
        for sender, fingerprint, attempt in cut:
            if attempt < self.load.sends_per_request:
                arguments = fingerprint, attempt + 1, sender
                self.later(RETRY_SECONDS, self.send_request, *arguments)

    def sound_quarantines(self):
        """Return the sound requests that a gateway has quarantined."""
        names = set().union(*(gateway.quarantines for gateway in self.gateways))
        return sorted(name for name in names if "sound" in name)
