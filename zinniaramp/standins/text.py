"""The answer of the engine stand-in: a function of the request alone."""

import hashlib
import json

__all__ = ["DEFAULT_MODEL", "expected_text", "expected_tokens", "request_digest"]

DEFAULT_MODEL = "small-model"
"""Model that an engine stand-in serves unless it is told otherwise."""

SHORTEST_TOKENS = 16
"""Scale of the Pareto distribution of answer lengths, in tokens."""

LONGEST_TOKENS = 2048
"""Longest answer to a request that does not fix its length, in tokens."""

TAIL_INDEX = 1.2
"""Shape of the Pareto distribution of answer lengths; the mean is far above the
median."""

DIGEST_RANGE = 2**64
"""Number of values of the part of a digest that chooses the length."""


def request_digest(request: dict) -> str:
    """Return the SHA-256 in hexadecimal of what an answer depends on.

    Parameters
    ----------
    request : dict
        Body of a chat completions request; only ``model`` and ``messages`` count.
    """
    seed = json.dumps([request.get("model"), request.get("messages")], sort_keys=True)
    return hashlib.sha256(seed.encode()).hexdigest()


def _drawn_length(digest: str) -> int:
    share = int(digest[:16], 16) / DIGEST_RANGE
    length = SHORTEST_TOKENS * (1 - share) ** (-1 / TAIL_INDEX)
    return min(int(length), LONGEST_TOKENS)


def _answer_length(request: dict, digest: str) -> int:
    asked = (request.get("metadata") or {}).get("output_tokens")
    length = _drawn_length(digest) if asked is None else int(asked)
    limit = request.get("max_tokens")
    return length if limit is None else min(length, limit)


def expected_tokens(request: dict) -> list[str]:
    """Return the tokens that the engine stand-in answers a request with.

    Parameters
    ----------
    request : dict
        Body of a chat completions request.  ``metadata.output_tokens`` fixes the
        length of the answer; without it the length is drawn from a Pareto
        distribution by the request's digest.  ``max_tokens`` bounds both.
    """
    digest = request_digest(request)
    count = _answer_length(request, digest)
    return [f"{digest[i % 60 : i % 60 + 4]}{i} " for i in range(count)]


def expected_text(request: dict) -> str:
    """Return the whole text that the engine stand-in answers a request with."""
    return "".join(expected_tokens(request))
