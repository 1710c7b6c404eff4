"""Quarantine of the prompt segments under which engines crash."""

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

__all__ = ["SegmentQuarantine"]

DECISION_INTERVAL = timedelta(milliseconds=50)
"""Time after which a decision is tried again that waits for an answer to last."""

EVIDENCE_TIME = timedelta(minutes=5)
"""Time for which a crash is evidence."""

MAX_CRASHES = 256
"""Maximum number of crashes that are remembered."""

QUARANTINE_TIMES = (
    timedelta(minutes=10),
    timedelta(hours=2),
    timedelta(hours=24),
)
"""Duration of the first, second and each later quarantine of a segment.

After each of them the segment is tried again; a single crash confirms it."""

MAX_QUARANTINES = 256
"""Maximum number of segments that are quarantined or remembered as such."""

MAX_COUNTED_SEGMENTS = 10_000
"""Number of segments whose sends are counted, above which all counts are halved."""


class SegmentQuarantine:
    """Finds prompt segments that crash engines, from the sends of all gateways.

    Answers the load of requests with one segment in common that crash each engine which
    begins to answer them, whatever else their prompts contain: without a quarantine
    they end one engine after the other, with all other requests on it.

    A segment explains a crash if the engine may have begun a request with it just
    before.  A request whose engine survives shows that its segments are sound, and
    takes back what they explained until then.  Of the segments that explain the most
    crashes, the least frequent one is quarantined, because a frequent one is present in
    many crashes by chance.  Its crashes are then no evidence against others.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    sends : dict of SendTrace
        Sends in flight, and those that ended less than `SURVIVAL_TIME` ago.
    crashes : dict of Crash
        Crashes of the last `EVIDENCE_TIME`, oldest first, by the engine's incarnation.
    frequencies : Counter
        Approximate number of sends by segment.
    quarantines : dict of Quarantine
        Quarantined segments, and those whose quarantine is over, by name.
    on_quarantine, on_release : callable
        Receive each quarantine that this process imposes itself, and the name of each
        segment that another one explains better.
    decide_at : datetime or None
        Time of the next decision; None if the crashes are all considered.
    """

    __slots__ = (
        "clock",
        "sends",
        "keys_by_engine",
        "begun",
        "ended",
        "crashes",
        "frequencies",
        "quarantines",
        "on_quarantine",
        "on_release",
        "decide_at",
    )

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.sends: dict[object, SendTrace] = {}
        self.keys_by_engine: dict[str, set] = {}
        self.begun: deque[tuple[datetime, object]] = deque()
        self.ended: deque[tuple[datetime, object]] = deque()
        self.crashes: dict[str, Crash] = {}
        self.frequencies: Counter = Counter()
        self.quarantines: dict[str, Quarantine] = {}
        self.on_quarantine: Callable[[Quarantine], None] = lambda quarantine: None
        self.on_release: Callable[[str], None] = lambda name: None
        self.decide_at: datetime | None = None

    def add(self, key: object, engine: str, names: Sequence[str]) -> None:
        """Record a send of this or another gateway.

        Parameters
        ----------
        key : hashable
            Identity of the send.
        engine : str
            Incarnation of the engine.
        names : sequence of str
            Names of the prompt segments that other requests may share, in order.
        """
        if not names:
            return
        self._expire()
        self.sends[key] = SendTrace(
            engine=engine, names=tuple(names), started_at=self.clock()
        )
        self.keys_by_engine.setdefault(engine, set()).add(key)
        self.frequencies.update(names)
        if len(self.frequencies) > MAX_COUNTED_SEGMENTS:
            halved = {name: n // 2 for name, n in self.frequencies.items() if n > 1}
            self.frequencies = Counter(halved)

    def record_first_event(self, key: object) -> None:
        """Record the first event of a send; unknown keys are ignored."""
        trace = self.sends.get(key)
        if trace is None or trace.first_at is not None:
            return
        trace.first_at = self.clock()
        self.begun.append((trace.first_at, key))
        crash = self.crashes.get(trace.engine)
        if crash is not None and trace.started_at > crash.at:
            del self.crashes[trace.engine]
            emit(CRASH_WITHDRAWN, endpoint=trace.engine)

    def record_end(self, key: object) -> None:
        """Record the end of a send; unknown keys are ignored."""
        trace = self.sends.get(key)
        if trace is not None and trace.ended_at is None:
            trace.ended_at = self.clock()
            self.ended.append((trace.ended_at, key))

    def discard(self, key: object) -> None:
        """Forget a send that the engine has not run; unknown keys are ignored."""
        trace = self.sends.pop(key, None)
        if trace is not None:
            keys = self.keys_by_engine[trace.engine]
            keys.discard(key)
            if not keys:
                del self.keys_by_engine[trace.engine]

    def record_crash(self, engine: str, at: datetime) -> bool:
        """Record that an engine closed its connections and refuses new ones.

        Parameters
        ----------
        engine : str
            Incarnation of the engine.
        at : datetime
            When the connections were closed.

        Returns
        -------
        bool
            Whether the crash was not known yet.
        """
        if engine in self.crashes:
            return False
        self._expire()
        keys = tuple(self.keys_by_engine.get(engine, ()))
        suspects = [
            trace.names
            for trace in (self.sends[key] for key in keys)
            if trace.is_suspect(at)
        ]
        for key in keys:
            self.discard(key)
        crash = Crash(engine=engine, at=at)
        for names in suspects:
            crash.depths.update({name: depth for depth, name in enumerate(names)})
        self.crashes[engine] = crash
        emit(
            ENGINE_CRASHED,
            endpoint=engine,
            sends=len(suspects),
            segments=sorted(crash.depths),
        )
        self._confirm(crash)
        self.decide_at = self.clock()
        return True

    def impose(self, name: str, left: timedelta, relapses: int, peer: str) -> None:
        """Quarantine a segment that another gateway reports.

        Parameters
        ----------
        name : str
            Name of the segment.
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
        """End the quarantine of a segment that is no cause of crashes."""
        if self.quarantines.pop(name, None) is not None:
            emit(SEGMENT_RELEASED, segment=name)

    def find(self, names: Iterable[str]) -> Quarantine | None:
        """Return the quarantine of the first segment that has one, or None."""
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
                self._record_survival(trace)
        while self.ended and self.ended[0][0] + SURVIVAL_TIME < now:
            _, key = self.ended.popleft()
            self.discard(key)
        while self.crashes:
            oldest = next(iter(self.crashes.values()))
            is_old = oldest.at + EVIDENCE_TIME < now
            if not is_old and len(self.crashes) <= MAX_CRASHES:
                break
            del self.crashes[oldest.engine]

    def _record_survival(self, trace: SendTrace) -> None:
        for name in trace.names:
            for crash in self.crashes.values():
                if crash.at <= trace.first_at:
                    crash.depths.pop(name, None)
            quarantine = self.quarantines.get(name)
            if quarantine is not None and quarantine.since < trace.first_at:
                self.release(name)

    def _confirm(self, crash: Crash) -> None:
        """Quarantine a segment again if the first try after its quarantine crashes."""
        for name in crash.depths:
            quarantine = self.quarantines.get(name)
            if quarantine is not None and quarantine.until <= crash.at:
                self._impose_own(name, quarantine.relapses + 1, (crash.engine,))

    def _decide(self) -> None:
        """Quarantine the segments that explain the crashes, and release others.

        The decision waits while an answer has begun that may show a segment sound.
        """
        self.decide_at = None
        causes: dict[str, set[str]] = {}
        for name, engines in find_causes(self.crashes.values(), self.frequencies):
            if any(name in self.sends[key].names for key in self._begun_keys()):
                self.decide_at = self.clock() + DECISION_INTERVAL
                break
            causes[name] = engines
        self._release_explained(causes)
        for name, engines in causes.items():
            if name not in self.quarantines:
                self._impose_own(name, 0, tuple(sorted(engines)))

    def _begun_keys(self) -> list:
        return [key for _, key in self.begun if key in self.sends]

    def _release_explained(self, causes: dict[str, set[str]]) -> None:
        """Release segments whose crashes are explained by a better cause."""
        for name, quarantine in tuple(self.quarantines.items()):
            engines = set(quarantine.engines)
            is_explained = any(
                engines < ended for cause, ended in causes.items() if cause != name
            )
            if engines and name not in causes and is_explained:
                self.release(name)
                self.on_release(name)

    def _impose_own(self, name: str, relapses: int, engines: tuple[str, ...]) -> None:
        left = QUARANTINE_TIMES[min(relapses, len(QUARANTINE_TIMES) - 1)]
        self.on_quarantine(self._start(name, left, relapses, engines, ""))

    def _start(
        self,
        name: str,
        left: timedelta,
        relapses: int,
        engines: tuple[str, ...],
        peer: str,
    ) -> Quarantine:
        now = self.clock()
        quarantine = Quarantine(
            name=name,
            since=now,
            until=now + left,
            relapses=relapses,
            engines=engines,
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
            crashes=list(engines),
            peer=peer,
        )
        return quarantine
