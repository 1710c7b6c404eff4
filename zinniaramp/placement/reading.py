"""The pace at which engines read prompts."""

from datetime import timedelta

__all__ = ["CHUNK_TOKENS", "READ_TOKENS_PER_MS", "reading_time"]

READ_TOKENS_PER_MS = 50.0
"""Prompt tokens that an engine reads in a millisecond: the sheets name 54.6 and 63.9,
and between two chunks of 4,096 comes a step of some 7 ms."""

CHUNK_TOKENS = 4096
"""Prompt tokens that an engine reads in one step, from the sheets."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of reading times."""


def reading_time(tokens: float) -> timedelta:
    """Return the time in which an engine reads prompt tokens."""
    return tokens / READ_TOKENS_PER_MS * MILLISECOND
