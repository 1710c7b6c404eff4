"""What is remembered about sends, crashes and quarantines."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

__all__ = [
    "FINGERPRINT_PREFIX",
    "SURVIVAL_TIME",
    "Crash",
    "Quarantine",
    "SendTrace",
]

FINGERPRINT_PREFIX = "request:"
"""Start of the fingerprints of requests; no name of a prompt segment has a colon."""

SURVIVAL_TIME = timedelta(seconds=0.5)
"""Time from the first event of an answer after which its segments are sound.

In recorded cases, engines ended 0.05 to 0.1 s after they had begun the answer."""


@dataclass(slots=True, kw_only=True)
class SendTrace:
    """What is known about one send to an endpoint.

    Parameters
    ----------
    endpoint : str
        Incarnation of the endpoint.
    segments : tuple of str
        Names of the prompt segments that other requests may share, in order.
    fingerprint : str or None
        Fingerprint of the request; None if another gateway has sent it.
    started_at : datetime
        When the send was started, or when this process learnt of it.
    first_at, ended_at : datetime or None
        When the first event arrived and when the send ended.
    """

    endpoint: str
    segments: tuple[str, ...]
    fingerprint: str | None
    started_at: datetime
    first_at: datetime | None = None
    ended_at: datetime | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """Causes that this send may show to be sound, or to crash its endpoint."""
        own = () if self.fingerprint is None else (self.fingerprint,)
        return self.segments + own

    def is_suspect(self, at: datetime) -> bool:
        """Return whether the endpoint may have begun the run just before a time."""
        earliest = at - SURVIVAL_TIME
        is_fresh = self.first_at is None or self.first_at > earliest
        is_current = self.ended_at is None or self.ended_at >= earliest
        return self.started_at <= at and is_fresh and is_current


@dataclass(slots=True, kw_only=True)
class Crash:
    """One crash of an endpoint.

    Parameters
    ----------
    endpoint : str
        Incarnation of the endpoint.
    at : datetime
        When its connections were closed.
    depths : dict of int
        Position in the prompt of each segment that may be the cause, by name; that of a
        fingerprint is behind them.
    starts : dict of datetime
        Start of the last send with each such cause that this process knows of, by name.
    own_fingerprints : tuple of str
        Requests of this gateway that may be the cause.
    """

    endpoint: str
    at: datetime
    depths: dict[str, int] = field(default_factory=dict)
    starts: dict[str, datetime] = field(default_factory=dict)
    own_fingerprints: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class Quarantine:
    """A cause of crashes whose requests are refused.

    Parameters
    ----------
    name : str
        Name of the segment, or fingerprint of the request.
    since, until : datetime
        Start and end of the current quarantine.
    relapses : int
        Number of earlier quarantines that a crash followed.
    endpoints : tuple of str
        Endpoints whose crashes are the evidence; empty if another gateway has it.
    """

    name: str
    since: datetime
    until: datetime
    relapses: int
    endpoints: tuple[str, ...] = ()
