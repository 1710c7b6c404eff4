"""Search for the prompt segments and requests that explain crashes."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta

from .records import Crash

__all__ = ["find_causes"]

MIN_CRASHES = 3
"""Crashes that a cause has to explain before it is quarantined.

Two may coincide: a frequent segment is begun on most engines at any time."""

MIN_AMBIGUOUS_CRASHES = 4
"""The same if another cause explains as many."""

FREQUENCY_RATIO = 2
"""Ratio of their sends above which one of two causes is much more frequent."""

CRASH_GROUP_TIME = timedelta(milliseconds=50)
"""Time within which several crashes count as one, because a rack, a data centre or a
network path may fail as a whole."""


EnginesByName = dict[str, set[str]]
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

        def rank(name: str, engines_by_name=unexplained) -> tuple[int, int, int]:
            return len(engines_by_name[name]), -frequencies[name], depths[name]

        cause = max(unexplained, key=rank)
        engines = unexplained[cause]
        if len(engines) < _crashes_needed(cause, unexplained, frequencies):
            return
        yield cause, engines
        left = {name: ended - engines for name, ended in unexplained.items()}
        unexplained = {name: ended for name, ended in left.items() if ended}


def _group_by_name(crashes: Iterable[Crash]) -> EnginesByName:
    """Return the crashes of each cause; of several at once only the first counts."""
    engines: EnginesByName = {}
    latest: dict[str, datetime] = {}
    for crash in crashes:
        for name in crash.depths:
            if name in latest and crash.at < latest[name] + CRASH_GROUP_TIME:
                continue
            latest[name] = crash.at
            engines.setdefault(name, set()).add(crash.engine)
    return engines


def _crashes_needed(
    name: str, engines_by_name: EnginesByName, frequencies: Mapping[str, int]
) -> int:
    """Return how many crashes a cause has to explain.

    These are more if another one that is not much more frequent explains as many.
    """
    crashes = len(engines_by_name[name])
    rivals = [
        other
        for other, ended in engines_by_name.items()
        if other != name
        and len(ended) == crashes
        and frequencies[other] < FREQUENCY_RATIO * frequencies[name]
    ]
    return MIN_AMBIGUOUS_CRASHES if rivals else MIN_CRASHES
