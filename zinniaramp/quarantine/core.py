"""Quarantine of the prompt segments and requests under which endpoints crash."""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from datetime import datetime, timedelta

from ..clock import Clock
from ..observability import emit
from .events import (
    CRASH_WITHDRAWN,
    ENGINE_CRASHED,
    SEGMENT_QUARANTINED,
    SEGMENT_RELEASED,
)
from .explanation import find_causes
from .records import SURVIVAL_TIME, Crash, Quarantine, SendTrace

__all__ = ["CrashQuarantine"]

DECISION_INTERVAL = timedelta(milliseconds=50)
"""Time after which a decision is tried again that waits for an answer to last."""

REPORT_TIME = timedelta(milliseconds=30)
"""Time after a crash in which the other gateways report their requests that it cut.

A message takes up to 5 ms until it is written and 3 ms to arrive."""

EVIDENCE_TIME = timedelta(minutes=5)
"""Time for which a crash is evidence."""

MAX_CRASHES = 256
"""Maximum number of crashes that are remembered."""

QUARANTINE_TIMES = (
    timedelta(minutes=10),
    timedelta(hours=2),
    timedelta(hours=24),
)
"""Duration of the first, second and each later quarantine of a cause.

After each of them it is tried again; a single crash confirms it."""

MAX_QUARANTINES = 256
"""Maximum number of causes that are quarantined or remembered as such."""

MAX_COUNTED_CAUSES = 10_000
"""Number of causes whose sends are counted, above which all counts are halved."""


class CrashQuarantine:
    """Finds what crashes endpoints, from the sends of all gateways.

    Answers two loads: requests with one prompt segment in common that crash each engine
    which begins to answer them, whatever else their prompts contain; and one request
    that comes again and crashes each endpoint which begins to run it.  Without a
    quarantine they end one endpoint after the other, with all other requests on it.

    A cause is a prompt segment, or a request's fingerprint.  It explains a crash if the
    endpoint may have begun a request with it just before.  A request whose endpoint
    survives shows that its causes are sound, and takes back what they explained until
    then.  Of the causes that explain the most crashes, the least frequent one is
    quarantined, because a frequent one is present in many crashes by chance.  Its
    crashes are then no evidence against others.

    The segments of a send are known to all gateways, its fingerprint only to the one
    that sent it: a gateway reports the fingerprints that a crash may be caused by.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    sends : dict of SendTrace
        Sends in flight, and those that ended less than `SURVIVAL_TIME` ago.
    crashes : dict of Crash
        Crashes of the last `EVIDENCE_TIME`, oldest first, by the endpoint's
        incarnation.
    frequencies : Counter
        Approximate number of sends by cause.
    quarantines : dict of Quarantine
        Quarantined causes, and those whose quarantine is over, by name.
    on_quarantine : callable
        Receives each quarantine that this process imposes itself.
    on_release : callable
        Receives the name of each cause that another one explains better.
    on_survival : callable
        Receives the fingerprint of each request that was suspected and is sound.
    decide_at : datetime or None
        Time of the next decision; None if the crashes are all considered.
    """

    __slots__ = (
        "clock",
        "sends",
        "keys_by_endpoint",
        "begun",
        "ended",
        "crashes",
        "frequencies",
        "quarantines",
        "on_quarantine",
        "on_release",
        "on_survival",
        "decide_at",
    )

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.sends: dict[object, SendTrace] = {}
        self.keys_by_endpoint: dict[str, set] = {}
        self.begun: deque[tuple[datetime, object]] = deque()
        self.ended: deque[tuple[datetime, object]] = deque()
        self.crashes: dict[str, Crash] = {}
        self.frequencies: Counter = Counter()
        self.quarantines: dict[str, Quarantine] = {}
        self.on_quarantine: Callable[[Quarantine], None] = lambda quarantine: None
        self.on_release: Callable[[str], None] = lambda name: None
        self.on_survival: Callable[[str], None] = lambda fingerprint: None
        self.decide_at: datetime | None = None

    def add(
        self,
        key: object,
        endpoint: str,
        segments: Sequence[str],
        fingerprint: str | None = None,
    ) -> None:
        """Record a send of this or another gateway.

        Parameters
        ----------
        key : hashable
            Identity of the send.
        endpoint : str
            Incarnation of the endpoint.
        segments : sequence of str
            Names of the prompt segments that other requests may share, in order.
        fingerprint : str, optional
            Fingerprint of the request, if it is sent by this gateway.
        """
        if not segments and fingerprint is None:
            return
        self._expire()
        trace = SendTrace(
            endpoint=endpoint,
            segments=tuple(segments),
            fingerprint=fingerprint,
            started_at=self.clock(),
        )
        self.sends[key] = trace
        self.keys_by_endpoint.setdefault(endpoint, set()).add(key)
        self.frequencies.update(trace.names)
        if len(self.frequencies) > MAX_COUNTED_CAUSES:
            halved = {name: n // 2 for name, n in self.frequencies.items() if n > 1}
            self.frequencies = Counter(halved)

    def record_first_event(self, key: object) -> None:
        """Record the first event of a send; unknown keys are ignored."""
        trace = self.sends.get(key)
        if trace is None or trace.first_at is not None:
            return
        trace.first_at = self.clock()
        self.begun.append((trace.first_at, key))
        self._withdraw_crash(trace)

    def record_answer(self, key: object) -> None:
        """Record that an endpoint lived to complete the answer to a send."""
        trace = self.sends.get(key)
        if trace is not None:
            self._withdraw_crash(trace)
            self._record_survival(trace, self.clock())
            self.discard(key)

    def _withdraw_crash(self, trace: SendTrace) -> None:
        """Drop a crash of an endpoint that has answered a later send."""
        crash = self.crashes.get(trace.endpoint)
        if crash is not None and trace.started_at > crash.at:
            del self.crashes[trace.endpoint]
            emit(CRASH_WITHDRAWN, endpoint=trace.endpoint)

    def record_end(self, key: object) -> None:
        """Record the end of a send; unknown keys are ignored."""
        trace = self.sends.get(key)
        if trace is not None and trace.ended_at is None:
            trace.ended_at = self.clock()
            self.ended.append((trace.ended_at, key))

    def discard(self, key: object) -> None:
        """Forget a send that the endpoint has not run; unknown keys are ignored."""
        trace = self.sends.pop(key, None)
        if trace is not None:
            keys = self.keys_by_endpoint[trace.endpoint]
            keys.discard(key)
            if not keys:
                del self.keys_by_endpoint[trace.endpoint]

    def record_crash(
        self, endpoint: str, at: datetime, fingerprints: Iterable[str] = ()
    ) -> bool:
        """Record that an endpoint closed its connections and refuses new ones.

        Parameters
        ----------
        endpoint : str
            Incarnation of the endpoint.
        at : datetime
            When the connections were closed.
        fingerprints : iterable of str
            Requests of another gateway that the endpoint may have begun just before.

        Returns
        -------
        bool
            Whether the crash was not known yet.
        """
        self._expire()
        is_new = endpoint not in self.crashes
        if is_new:
            self._add_crash(endpoint, at)
        crash = self.crashes[endpoint]
        for fingerprint in fingerprints:
            crash.depths.setdefault(fingerprint, len(crash.depths))
        self._confirm(crash)
        self.decide_at = self.clock() + REPORT_TIME
        return is_new

    def _add_crash(self, endpoint: str, at: datetime) -> None:
        keys = tuple(self.keys_by_endpoint.get(endpoint, ()))
        suspects = [
            trace for trace in (self.sends[key] for key in keys) if trace.is_suspect(at)
        ]
        for key in keys:
            self.discard(key)
        crash = Crash(endpoint=endpoint, at=at)
        for trace in sorted(suspects, key=lambda trace: trace.started_at):
            crash.depths.update({name: depth for depth, name in enumerate(trace.names)})
            crash.starts.update(dict.fromkeys(trace.names, trace.started_at))
        own = {trace.fingerprint for trace in suspects} - {None}
        crash.own_fingerprints = tuple(sorted(own))
        self.crashes[endpoint] = crash
        emit(
            ENGINE_CRASHED,
            endpoint=endpoint,
            sends=len(suspects),
            segments=sorted(crash.depths),
        )

    def impose(self, name: str, left: timedelta, relapses: int, peer: str) -> None:
        """Quarantine a cause that another gateway reports.

        Parameters
        ----------
        name : str
            Name of the cause.
        left : timedelta
            Remaining time of the quarantine.
        relapses : int
            Number of earlier quarantines that a crash followed.
        peer : str
            The other gateway, for the log.
        """
        known = self.quarantines.get(name)
        left = min(left, QUARANTINE_TIMES[-1])
        if known is not None and known.until >= self.clock() + left / 2:
            return
        self._start(name, left, relapses, (), peer)

    def release(self, name: str) -> None:
        """End the quarantine of what is no cause of crashes."""
        if self.quarantines.pop(name, None) is not None:
            emit(SEGMENT_RELEASED, segment=name)

    def clear(self, fingerprint: str) -> None:
        """Drop what a request explained that another gateway has seen answered."""
        for crash in self.crashes.values():
            crash.depths.pop(fingerprint, None)
        self.release(fingerprint)

    def find(self, names: Iterable[str]) -> Quarantine | None:
        """Return the quarantine of the first cause that has one, or None."""
        self._expire()
        now = self.clock()
        if self.decide_at is not None and self.decide_at <= now:
            self._decide()
        if not self.quarantines:
            return None
        found = (self.quarantines.get(name) for name in names)
        return next((one for one in found if one is not None and now < one.until), None)

    def active(self) -> list[Quarantine]:
        """Return the quarantines in force."""
        now = self.clock()
        return [one for one in self.quarantines.values() if now < one.until]

    def _expire(self) -> None:
        """Evaluate the answers that have lasted, and forget what is too old."""
        now = self.clock()
        while self.begun and self.begun[0][0] + SURVIVAL_TIME <= now:
            _, key = self.begun.popleft()
            trace = self.sends.get(key)
            if trace is not None:
                self._record_survival(trace, trace.first_at)
        while self.ended and self.ended[0][0] + SURVIVAL_TIME < now:
            _, key = self.ended.popleft()
            self.discard(key)
        while self.crashes:
            oldest = next(iter(self.crashes.values()))
            is_old = oldest.at + EVIDENCE_TIME < now
            if not is_old and len(self.crashes) <= MAX_CRASHES:
                break
            del self.crashes[oldest.endpoint]

    def _record_survival(self, trace: SendTrace, at: datetime) -> None:
        """Drop what the causes of a send explained until a time."""
        for name in trace.names:
            earlier = [crash for crash in self.crashes.values() if crash.at <= at]
            suspected = [crash for crash in earlier if name in crash.depths]
            for crash in suspected:
                del crash.depths[name]
            quarantine = self.quarantines.get(name)
            if quarantine is not None and quarantine.since < at:
                self.release(name)
            if suspected and name == trace.fingerprint:
                self.on_survival(name)

    def _confirm(self, crash: Crash) -> None:
        """Quarantine a cause again if the first try after its quarantine crashes."""
        for name in crash.depths:
            quarantine = self.quarantines.get(name)
            if quarantine is not None and quarantine.until <= crash.at:
                self._impose_own(name, quarantine.relapses + 1, (crash.endpoint,))

    def _decide(self) -> None:
        """Quarantine the causes that explain the crashes, and release others.

        The decision waits while an answer has begun that may show a cause sound.
        """
        self.decide_at = None
        causes: dict[str, set[str]] = {}
        for name, endpoints in find_causes(self.crashes.values(), self.frequencies):
            if any(name in self.sends[key].names for key in self._begun_keys()):
                self.decide_at = self.clock() + DECISION_INTERVAL
                break
            causes[name] = endpoints
        self._release_explained(causes)
        for name, endpoints in causes.items():
            if name not in self.quarantines:
                self._impose_own(name, 0, tuple(sorted(endpoints)))

    def _begun_keys(self) -> list:
        return [key for _, key in self.begun if key in self.sends]

    def _release_explained(self, causes: dict[str, set[str]]) -> None:
        """Release causes whose crashes are explained by a better one."""
        for name, quarantine in tuple(self.quarantines.items()):
            endpoints = set(quarantine.endpoints)
            is_explained = any(
                endpoints < ended for cause, ended in causes.items() if cause != name
            )
            if endpoints and name not in causes and is_explained:
                self.release(name)
                self.on_release(name)

    def _impose_own(self, name: str, relapses: int, endpoints: tuple[str, ...]) -> None:
        left = QUARANTINE_TIMES[min(relapses, len(QUARANTINE_TIMES) - 1)]
        self.on_quarantine(self._start(name, left, relapses, endpoints, ""))

    def _start(
        self,
        name: str,
        left: timedelta,
        relapses: int,
        endpoints: tuple[str, ...],
        peer: str,
    ) -> Quarantine:
        now = self.clock()
        quarantine = Quarantine(
            name=name,
            since=now,
            until=now + left,
            relapses=relapses,
            endpoints=endpoints,
        )
        self.quarantines.pop(name, None)
        self.quarantines[name] = quarantine
        if len(self.quarantines) > MAX_QUARANTINES:
            del self.quarantines[next(iter(self.quarantines))]
        emit(
            SEGMENT_QUARANTINED,
            segment=name,
            seconds=left.total_seconds(),
            relapses=relapses,
            crashes=list(endpoints),
            peer=peer,
        )
        return quarantine
