"""Latency of the paths to the data centres, measured by connection attempts."""

import math
from datetime import datetime, timedelta

__all__ = ["PathLatencies"]

WEIGHT = 0.1
"""Weight of one connection attempt in the moving average.  A path on which one attempt
in forty is lost then keeps a cost between two losses."""

HALF_LIFE = timedelta(seconds=5)
"""Time in which the latency of a path that isn't used halves.  Disturbances last some
seconds; a path has to be tried again after one."""


class PathLatencies:
    """Moving average of the time to connect, by data centre.

    Parameters
    ----------
    data_center : str
        The process's data centre.

    Attributes
    ----------
    averages : dict
        Average in milliseconds and the time of its latest sample, by data centre.
    """

    __slots__ = ("data_center", "averages")

    def __init__(self, *, data_center: str):
        self.data_center = data_center
        self.averages: dict[str, tuple[float, datetime]] = {}

    def record(self, data_center: str, ms: float, now: datetime) -> None:
        """Record how long a connection attempt took, or after what time it failed.

        Parameters
        ----------
        data_center : str
            Data centre of the endpoint.
        ms : float
            Time in milliseconds.
        now : datetime
            Current time.
        """
        if data_center in self.averages:
            before = self.average_ms(data_center, now)
            ms = before + WEIGHT * (ms - before)
        self.averages[data_center] = (ms, now)

    def average_ms(self, data_center: str, now: datetime) -> float:
        """Return the average time to connect in milliseconds; 0 if it is not known."""
        known = self.averages.get(data_center)
        if known is None:
            return 0.0
        ms, changed_at = known
        return ms * math.exp2(-((now - changed_at) / HALF_LIFE))

    def extra_ms(self, data_center: str, now: datetime) -> float:
        """Return the latency in milliseconds beyond that of the home data centre.

        Notes
        -----
        The difference leaves out the delays of a busy host, which are in all samples.
        """
        home_ms = self.average_ms(self.data_center, now)
        return max(0.0, self.average_ms(data_center, now) - home_ms)
