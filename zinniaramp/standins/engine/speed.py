"""The speed of the engine stand-in."""

__all__ = ["prefill_seconds", "step_seconds", "tokens_per_second"]

STEP_BASE_SECONDS = 0.010
"""Time of a step that every batch takes, in seconds."""

STEP_REQUEST_SECONDS = 0.0005
"""Time that each request of the batch adds to a step, in seconds."""

PREFILL_TOKEN_SECONDS = 0.0002
"""Time to read one prompt token that is not cached, in seconds."""


def step_seconds(batch: int) -> float:
    """Return the time of one step, which yields one token for each request.

    Parameters
    ----------
    batch : int
        Requests in the batch.

    Returns
    -------
    float
        Seconds.
    """
    return STEP_BASE_SECONDS + STEP_REQUEST_SECONDS * batch


def prefill_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """Return the time by which reading a prompt lengthens a step.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    cached_tokens : int
        Those of them that the prefix cache holds.

    Returns
    -------
    float
        Seconds.
    """
    return PREFILL_TOKEN_SECONDS * (prompt_tokens - cached_tokens)


def tokens_per_second(batch: int) -> float:
    """Return the engine's speed at a batch size, without prefill.

    Parameters
    ----------
    batch : int
        Requests in the batch.

    Returns
    -------
    float
        Tokens per second over the whole batch.
    """
    return batch / step_seconds(batch)
