"""Limit on consecutive prefill chunks on an engine that decodes a stream."""

from datetime import timedelta

from .reading import CHUNK_TOKENS, prefill_time

__all__ = ["max_consecutive_chunks"]

DECODE_STEP_TIME = timedelta(milliseconds=10)
"""Time of a decode step without prefill on a busy engine.

The engine's specification gives 5.6 ms plus 0.12 ms for each running request."""


def max_consecutive_chunks(gap_target: timedelta, tokens_per_event: int) -> int | None:
    """Return how many prefill chunks may run consecutively while a stream is decoded.

    Parameters
    ----------
    gap_target : timedelta
        Longest acceptable gap between two events of the stream; 0 if there is no
        target.
    tokens_per_event : int
        Tokens in one event, each of which takes one decode step; 0 if unknown.

    Returns
    -------
    int or None
        None if unlimited: there is no target, the size of an event is unknown, or
        the target is met even if every decode step of an event includes a chunk.
    """
    step = prefill_time(CHUNK_TOKENS) + DECODE_STEP_TIME
    if not gap_target or not tokens_per_event or gap_target >= tokens_per_event * step:
        return None
    return gap_target // step
