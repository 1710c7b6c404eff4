"""Delays with jitter."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

__all__ = ["backoff_delay", "retry_after"]

BASE_DELAY = timedelta(seconds=0.1)
"""Delay before the first retry, before jitter."""

MAX_DELAY = timedelta(seconds=5)
"""Largest delay."""

MAX_DOUBLINGS = 16
"""Doublings after which the exponent stops growing."""

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
"""When to come back if no endpoint has said it."""

MAX_RETRY_AFTER = timedelta(seconds=300)
"""Latest time to come back that is told."""

JITTER = 0.5
"""Largest share that is added at random."""


def backoff_delay(failures: int, random_source: Random) -> timedelta:
    """Return the delay after a number of failures in a row, with full jitter."""
    doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
    ceiling = min(MAX_DELAY, BASE_DELAY * 2**doublings)
    return ceiling * random_source.uniform(0.5, 1)


def retry_after(told: Iterable[float], random_source: Random) -> timedelta:
    """Return when a caller that is given up on should come back.

    Parameters
    ----------
    told : iterable of float
        Seconds that refusing endpoints gave.
    random_source : random.Random
        Source of the jitter.

    Returns
    -------
    timedelta
        The least of the told times, bounded, plus up to `JITTER` of it.
    """
    least = min((one for one in told if one > 0), default=None)
    base = DEFAULT_RETRY_AFTER if least is None else timedelta(seconds=min(least, 1e6))
    bounded = min(max(base, DEFAULT_RETRY_AFTER), MAX_RETRY_AFTER)
    return bounded * (1 + random_source.uniform(0, JITTER))
