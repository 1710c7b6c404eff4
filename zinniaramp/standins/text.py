"""Answers of the engine stand-in, which are a pure function of the request."""

import hashlib
import json

__all__ = ["DEFAULT_MODEL", "expected_text", "expected_tokens", "request_digest"]

DEFAULT_MODEL = "small-model"
"""Model that an engine stand-in serves by default."""

SHORTEST_TOKENS = 16
"""Scale, which is also the minimum, of the distribution of lengths, in tokens."""

LONGEST_TOKENS = 2048
"""Upper limit of answer lengths drawn from the distribution, in tokens."""

TAIL_INDEX = 1.2
"""Shape of the Pareto distribution of answer lengths.

The tail is heavy: the mean is far above the median.
"""

DIGEST_RANGE = 2**64
"""Number of values of a digest's first 64 bits, from which a length is drawn."""


def request_digest(request: dict) -> str:
    """Return the hexadecimal SHA-256 of the fields that determine an answer.

    Parameters
    ----------
    request : dict
        Body of a chat completions request; only ``model`` and ``messages`` are
        hashed.
    """
    seed = json.dumps([request.get("model"), request.get("messages")], sort_keys=True)
    return hashlib.sha256(seed.encode()).hexdigest()


def _draw_length(digest: str) -> int:
    quantile = int(digest[:16], 16) / DIGEST_RANGE
    length = SHORTEST_TOKENS * (1 - quantile) ** (-1 / TAIL_INDEX)
    return min(int(length), LONGEST_TOKENS)


def _answer_length(request: dict, digest: str) -> int:
    requested = (request.get("metadata") or {}).get("output_tokens")
    length = _draw_length(digest) if requested is None else int(requested)
    limit = request.get("max_tokens")
    return length if limit is None else min(length, limit)


def expected_tokens(request: dict) -> list[str]:
    """Return the tokens of the engine stand-in's answer to a request.

    Parameters
    ----------
    request : dict
        Body of a chat completions request.  ``metadata.output_tokens`` sets the
        length of the answer.  Without it, the request's digest selects a length
        from a Pareto distribution.  ``max_tokens`` limits the length in both cases.
    """
    digest = request_digest(request)
    count = _answer_length(request, digest)
    return [f"{digest[i % 60 : i % 60 + 4]}{i} " for i in range(count)]


def expected_text(request: dict) -> str:
    """Return the complete text of the engine stand-in's answer to a request."""
    return "".join(expected_tokens(request))
