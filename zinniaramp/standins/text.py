"""The answer of the engine stand-in: a function of the request alone."""

import hashlib
import json

__all__ = ["expected_text", "expected_tokens"]

DEFAULT_TOKENS = 16
"""Tokens of an answer to a request that does not say ``max_tokens``."""


def expected_tokens(request: dict) -> list[str]:
    """Return the tokens that the engine stand-in answers a request with.

    Parameters
    ----------
    request : dict
        Body of a chat completions request.
    """
    count = int(request.get("max_tokens") or DEFAULT_TOKENS)
    count = int((request.get("metadata") or {}).get("output_tokens", count))
    seed = json.dumps([request.get("model"), request.get("messages")], sort_keys=True)
    digest = hashlib.sha256(seed.encode()).hexdigest()
    return [f"{digest[i % 60 : i % 60 + 4]}{i} " for i in range(count)]


def expected_text(request: dict) -> str:
    """Return the whole text that the engine stand-in answers a request with."""
    return "".join(expected_tokens(request))
