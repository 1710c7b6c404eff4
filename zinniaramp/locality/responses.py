"""Response times of plain endpoints, from which their queues are estimated."""

import math
from datetime import datetime, timedelta

__all__ = ["ResponseTimes"]

WEIGHT = 0.4
"""Weight of one response in the moving average.  A gateway may get one response a
second; a queue has to be noticed within two or three of them."""

HALF_LIFE = timedelta(seconds=2)
"""Time in which the estimate of an endpoint that isn't used halves.  A queue of a few
slots empties within a second, and a gateway may send only one request a second."""

BEST_GROWTH = timedelta(seconds=60)
"""Time in which the shortest response time seen doubles, so that it follows a change of
the work."""

UNKNOWN_WORK_MS = 20.0
"""Time of a response before the first one, which spreads the first requests."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of the response times."""


class ResponseTimes:
    """Response times of the endpoints of one plain service.

    The queue of an endpoint is also filled by other gateways, whose requests are not
    known here.  It shows in how much longer responses take than the best average seen.

    Attributes
    ----------
    best_ms : float
        Lowest average response time seen in milliseconds; 0 before the first response.
        It is not the shortest response, because requests differ in their work.
    best_at : datetime or None
        When `best_ms` was computed.
    averages : dict
        Average response time in milliseconds and the time of its latest sample, by
        endpoint.
    in_flight : dict
        Start of each of this process's sends in flight by its number, by endpoint.
    """

    __slots__ = ("best_ms", "best_at", "averages", "in_flight")

    def __init__(self):
        self.best_ms = 0.0
        self.best_at: datetime | None = None
        self.averages: dict[str, tuple[float, datetime]] = {}
        self.in_flight: dict[str, dict[int, datetime]] = {}

    def record_start(self, endpoint: str, number: int, now: datetime) -> None:
        """Record that a request was sent to an endpoint."""
        self.in_flight.setdefault(endpoint, {})[number] = now

    def record_response(self, endpoint: str, number: int, now: datetime) -> None:
        """Record the response to a request; unknown numbers are ignored."""
        started_at = self.in_flight.get(endpoint, {}).get(number)
        if started_at is None:
            return
        ms = (now - started_at) / MILLISECOND
        average_ms = self._record(endpoint, ms, now)
        best_ms = self._grown_best_ms(now)
        self.best_ms = min(best_ms, average_ms) if best_ms else average_ms
        self.best_at = now

    def record_rejection(self, endpoint: str, wait_ms: float, now: datetime) -> None:
        """Record that an endpoint gave no usable response.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        wait_ms : float
            Wait that the failure counts as, in milliseconds.
        now : datetime
            Current time.
        """
        self._record(endpoint, self.best_ms + wait_ms, now)

    def record_end(self, endpoint: str, number: int) -> None:
        """Record the end of a send; unknown numbers are ignored."""
        sends = self.in_flight.get(endpoint, {})
        sends.pop(number, None)
        if not sends:
            self.in_flight.pop(endpoint, None)

    def wait_ms(self, endpoint: str, slots: int, now: datetime) -> float:
        """Return the estimated wait of a new request at an endpoint.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        slots : int
            Requests that it runs concurrently.
        now : datetime
            Current time.

        Returns
        -------
        float
            The average wait, which decays with time, or how much the oldest request
            in flight is overdue, if that is longer; and the wait for this process's
            own requests beyond the slots.  In milliseconds.
        """
        sends = self.in_flight.get(endpoint, {})
        wait_ms = max(0.0, self._average_ms(endpoint, now) - self.best_ms)
        if sends and self.best_ms:
            oldest_ms = (now - next(iter(sends.values()))) / MILLISECOND
            wait_ms = max(wait_ms, oldest_ms - self.best_ms)
        own_ahead = len(sends) + 1 - max(1, slots)
        return wait_ms + max(0, own_ahead) * self.best_ms / max(1, slots)

    def spread_ms(self, endpoint: str, slots: int) -> float:
        """Return a cost in milliseconds that spreads requests over idle endpoints."""
        work_ms = self.best_ms or UNKNOWN_WORK_MS
        return len(self.in_flight.get(endpoint, ())) * work_ms / max(1, slots)

    def keep(self, names) -> None:
        """Remove what is known of all endpoints except the named ones."""
        for endpoint in [name for name in self.averages if name not in names]:
            del self.averages[endpoint]

    def _grown_best_ms(self, now: datetime) -> float:
        if self.best_at is None:
            return 0.0
        return self.best_ms * math.exp2((now - self.best_at) / BEST_GROWTH)

    def _average_ms(self, endpoint: str, now: datetime) -> float:
        """Return the average response time, which decays to the best one."""
        known = self.averages.get(endpoint)
        if known is None:
            return self.best_ms
        ms, changed_at = known
        share = math.exp2(-((now - changed_at) / HALF_LIFE))
        return self.best_ms + share * (ms - self.best_ms)

    def _record(self, endpoint: str, ms: float, now: datetime) -> float:
        """Add a sample to an endpoint's average and return the average."""
        before = self._average_ms(endpoint, now) or ms
        average_ms = before + WEIGHT * (ms - before)
        self.averages[endpoint] = (average_ms, now)
        return average_ms
