"""Limit on consecutive prefill chunks beside a stream with a gap target."""

from datetime import timedelta

from .reading import CHUNK_TOKENS, prefill_time

__all__ = ["most_chunks"]

DECODE_STEP_TIME = timedelta(milliseconds=10)
"""Time of a decode step without prefill on a busy engine.

The engine's specification gives 5.6 ms plus 0.12 ms for each running request."""


def most_chunks(gap_target: timedelta, event_tokens: int) -> int | None:
    """Return how many prefill chunks may run consecutively beside a stream.

    Parameters
    ----------
    gap_target : timedelta
        Longest acceptable gap between two events of the stream; 0 if there is no
        target.
    event_tokens : int
        Tokens in one event, each of which takes one decode step; 0 if unknown.

    Returns
    -------
    int or None
        None if unlimited: there is no target, the size of an event is unknown, or
        the target is met even if every decode step of an event includes a chunk.
    """
    step = prefill_time(CHUNK_TOKENS) + DECODE_STEP_TIME
    if not gap_target or not event_tokens or gap_target >= event_tokens * step:
        return None
    return gap_target // step
