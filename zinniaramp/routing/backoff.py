"""Backoff before retries and retry-after hints for refused callers, with jitter."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

__all__ = ["backoff_delay", "retry_after"]

BASE_DELAY = timedelta(seconds=0.1)
"""Upper bound of the delay before the first retry."""

MAX_DELAY = timedelta(seconds=5)
"""Upper bound of every delay."""

MAX_DOUBLINGS = 16
"""Limit of the exponent, far above the one at which `MAX_DELAY` is reached."""

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
"""Time after which a caller may retry if no endpoint gave a hint; also the minimum."""

MAX_RETRY_AFTER = timedelta(seconds=300)
"""Maximum time after which a caller may retry, before jitter."""

MAX_JITTER_SHARE = 0.5
"""Maximum jitter, as a share of the time to which it is added."""


def backoff_delay(failures: int, random_source: Random) -> timedelta:
    """Return the exponential backoff delay after a number of consecutive failures.

    The delay is drawn at random between half the bound and the bound.
    """
    doublings = min(max(failures - 1, 0), MAX_DOUBLINGS)
    ceiling = min(MAX_DELAY, BASE_DELAY * 2**doublings)
    return ceiling * random_source.uniform(0.5, 1)


def retry_after(hints_s: Iterable[float], random_source: Random) -> timedelta:
    """Return the time after which a refused caller may retry.

    Parameters
    ----------
    hints_s : iterable of float
        Retry-after hints of the endpoints that refused the request, in seconds.
        Values that are not positive are ignored.
    random_source : random.Random
        Source of the jitter.

    Returns
    -------
    timedelta
        The shortest hint, clipped to the range from `DEFAULT_RETRY_AFTER` to
        `MAX_RETRY_AFTER`, plus jitter of up to `MAX_JITTER_SHARE` of it.
    """
    shortest = min((one for one in hints_s if one > 0), default=None)
    base = (
        DEFAULT_RETRY_AFTER
        if shortest is None
        else timedelta(seconds=min(shortest, 1e6))
    )
    bounded = min(max(base, DEFAULT_RETRY_AFTER), MAX_RETRY_AFTER)
    return bounded * (1 + random_source.uniform(0, MAX_JITTER_SHARE))
