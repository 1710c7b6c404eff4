"""Limits on callers' requests, and the answers to those that are beyond them."""

import json

from ..contracts import Outcome
from ..intake import Phase
from ..listeners import BodyPolicy, Refusal, RefusalAnswer, draw_retry_seconds
from .errors import CallerError, ErrorCode, error_body
from .handling import error_headers

__all__ = ["CALLER_POLICY", "MAX_BODY_BYTES", "memory_short", "parsed_size"]

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Largest request body that the HTTP server reads, in bytes."""

BODY_COPIES = 3
"""Copies of a body in memory: as received, as forwarded, and in the stream's buffer."""

PLACE_BYTES = 9
"""Memory of one place in a list or an object, with what they allocate ahead."""

SCALAR_BYTES = 56
"""Memory of a short string, which takes more than a number."""

LIST_BYTES = 64
"""Memory of a list, with the header for garbage collection."""

OBJECT_BYTES = 232
"""Memory of an object with up to five entries."""


def parsed_size(body: bytes) -> int:
    """Return an estimate of the memory that the values of a JSON document take.

    The sizes are those of 64-bit CPython.

    Parameters
    ----------
    body : bytes
        The document.  Each value but the first follows a comma, a colon or an opening
        bracket; those in strings are counted too.

    Returns
    -------
    int
        Bytes; the estimate errs upwards for text, whose punctuation it counts.
    """
    entries = body.count(b",") + body.count(b":")
    lists, objects = body.count(b"["), body.count(b"{")
    scalars = max(0, entries + body.count(b":") - lists - objects)
    return (
        len(body)
        + PLACE_BYTES * entries
        + SCALAR_BYTES * scalars
        + LIST_BYTES * lists
        + OBJECT_BYTES * objects
    )


def memory_short() -> CallerError:
    """Return the error for a request for which there is no memory now."""
    return CallerError(
        status=503,
        code=ErrorCode.MEMORY_SHORT,
        message="no memory for the request now; send it again after Retry-After",
        outcome=Outcome.NOT_RUN,
        retry_after_s=draw_retry_seconds(),
    )


_TOO_LARGE = CallerError(
    status=413,
    code=ErrorCode.BODY_TOO_LARGE,
    message=f"send a body of at most {MAX_BODY_BYTES} bytes",
)


def make_refusal(refusal: Refusal) -> RefusalAnswer:
    """Return the answer to a request that is refused before it is handled."""
    error = _TOO_LARGE if refusal is Refusal.TOO_LARGE else memory_short()
    body = json.dumps(error_body(error)).encode()
    return RefusalAnswer(status=error.status, body=body, headers=error_headers(error))


CALLER_POLICY = BodyPolicy(
    max_bytes=MAX_BODY_BYTES,
    copies=BODY_COPIES,
    refuses_heads=True,
    phase=Phase.RUNNING,
    refuse=make_refusal,
)
"""Limits of the listener for callers."""
