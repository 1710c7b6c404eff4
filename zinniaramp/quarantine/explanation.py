"""Search for the prompt segments and requests that explain crashes."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta

from .records import FINGERPRINT_PREFIX, Crash

__all__ = ["find_causes"]

MIN_CRASHES = 3
"""Crashes that a cause has to explain before it is quarantined.

Two may coincide: a frequent segment is begun on most engines at any time."""

MIN_AMBIGUOUS_CRASHES = 4
"""The same if another cause explains as many."""

FREQUENCY_RATIO = 2
"""Ratio of their sends above which one of two causes is much more frequent."""

CRASH_GROUP_TIME = timedelta(milliseconds=50)
"""Time within which crashes are one failure, because a rack, a data centre or a network
path may fail as a whole.  One whose request was sent after the crash before it is a
failure of its own."""

COUNTED_SEGMENT_CRASHES = 1
"""Crashes of one failure that count for a segment; many engines have begun it."""

COUNTED_REQUEST_CRASHES = 2
"""The same for a request.  Few endpoints run it at once unless it comes often."""


EndpointsByName = dict[str, set[str]]
"""Endpoints that a cause may have crashed, by its name."""


def find_causes(
    crashes: Iterable[Crash], frequencies: Mapping[str, int]
) -> Iterator[tuple[str, set[str]]]:
    """Yield the causes that explain enough crashes, the best explanation first.

    A crash that one cause explains is no evidence for the next one.

    Parameters
    ----------
    crashes : iterable of Crash
        Crashes in the order in which they became known.
    frequencies : mapping of int
        Number of sends by cause.

    Yields
    ------
    tuple
        Name of the cause, and the endpoints whose crash it explains.
    """
    known = tuple(crashes)
    depths: dict[str, int] = {}
    for crash in known:
        depths.update(crash.depths)
    unexplained = _group_by_name(known)
    while unexplained:

        def rank(name: str, endpoints_by_name=unexplained) -> tuple[int, int, int]:
            return len(endpoints_by_name[name]), -frequencies[name], depths[name]

        cause = max(unexplained, key=rank)
        endpoints = unexplained[cause]
        if len(endpoints) < _crashes_needed(cause, unexplained, frequencies):
            return
        yield cause, endpoints
        left = {name: ended - endpoints for name, ended in unexplained.items()}
        unexplained = {name: ended for name, ended in left.items() if ended}


def _group_by_name(crashes: Iterable[Crash]) -> EndpointsByName:
    """Return the crashes of each cause; of one failure only the first ones count."""
    endpoints: EndpointsByName = {}
    failures: dict[str, datetime] = {}
    counted: dict[str, int] = {}
    for crash in crashes:
        for name in crash.depths:
            began_at = failures.get(name)
            if began_at is None or not _is_same_failure(crash, name, began_at):
                failures[name], counted[name] = crash.at, 0
            counted[name] += 1
            if counted[name] <= _max_counted(name):
                endpoints.setdefault(name, set()).add(crash.endpoint)
    return endpoints


def _max_counted(name: str) -> int:
    is_request = name.startswith(FINGERPRINT_PREFIX)
    return COUNTED_REQUEST_CRASHES if is_request else COUNTED_SEGMENT_CRASHES


def _is_same_failure(crash: Crash, name: str, earlier: datetime) -> bool:
    """Return whether a crash may belong to a failure that began earlier."""
    if crash.at >= earlier + CRASH_GROUP_TIME:
        return False
    start = crash.starts.get(name)
    return start is None or start <= earlier


def _crashes_needed(
    name: str, endpoints_by_name: EndpointsByName, frequencies: Mapping[str, int]
) -> int:
    """Return how many crashes a cause has to explain.

    These are more if another one that is not much more frequent explains as many.
    """
    crashes = len(endpoints_by_name[name])
    rivals = [
        other
        for other, ended in endpoints_by_name.items()
        if other != name
        and len(ended) == crashes
        and frequencies[other] < FREQUENCY_RATIO * frequencies[name]
    ]
    return MIN_AMBIGUOUS_CRASHES if rivals else MIN_CRASHES
