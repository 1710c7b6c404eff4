"""Time model of the engine stand-in: step time and prefill time."""

__all__ = ["prefill_seconds", "step_seconds", "tokens_per_second"]

STEP_BASE_SECONDS = 0.010
"""Fixed time of a step, independent of the batch, in seconds."""

STEP_REQUEST_SECONDS = 0.0005
"""Time that each request of the batch adds to a step, in seconds."""

PREFILL_TOKEN_SECONDS = 0.0002
"""Prefill time of one prompt token that is not cached, in seconds."""


def step_seconds(batch: int) -> float:
    """Return the time of one step, which generates one token for each request.

    Parameters
    ----------
    batch : int
        Number of requests in the batch.

    Returns
    -------
    float
        Time in seconds.
    """
    return STEP_BASE_SECONDS + STEP_REQUEST_SECONDS * batch


def prefill_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """Return the time by which the prefill of a prompt lengthens a step.

    Parameters
    ----------
    prompt_tokens : int
        Number of tokens in the prompt.
    cached_tokens : int
        Number of them that the prefix cache contains.

    Returns
    -------
    float
        Time in seconds.
    """
    return PREFILL_TOKEN_SECONDS * (prompt_tokens - cached_tokens)


def tokens_per_second(batch: int) -> float:
    """Return the decode rate at a batch size, without prefill.

    Parameters
    ----------
    batch : int
        Number of requests in the batch.

    Returns
    -------
    float
        Tokens per second over the whole batch.
    """
    return batch / step_seconds(batch)
