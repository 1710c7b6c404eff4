"""Prefill rate and chunk size of the engines."""

from datetime import timedelta

__all__ = ["CHUNK_TOKENS", "PREFILL_TOKENS_PER_MS", "prefill_time"]

PREFILL_TOKENS_PER_MS = 50.0
"""Assumed prefill rate, in prompt tokens per millisecond.

The specifications of the engines give 54.6 and 63.9, but a decode step of about 7 ms
runs between two chunks of 4,096 tokens."""

CHUNK_TOKENS = 4096
"""Prompt tokens that an engine prefills in one step, from its specification."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of time of `PREFILL_TOKENS_PER_MS`."""


def prefill_time(tokens: float) -> timedelta:
    """Return the time an engine needs to prefill a number of prompt tokens."""
    return tokens / PREFILL_TOKENS_PER_MS * MILLISECOND
