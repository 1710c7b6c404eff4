"""Identity of attempts."""

import re
import secrets
from dataclasses import dataclass

from result import Err, Ok, Result

__all__ = ["AnswerError", "AttemptId", "new_attempt_id", "parse_attempt_id"]

REQUEST_ID_BYTES = 12
"""Random bytes in a request's identity."""

_PATTERN = re.compile(r"([0-9a-f]{24})\.([0-9]{1,3})\.([a-z0-9-]{1,40})")


class AnswerError(Exception):
    """An answer's identity or content is wrong."""


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptId:
    """Identity of one attempt; its text is what callers see as the request's.

    Parameters
    ----------
    request : str
        Identity of the request, in hexadecimal; the same for all its attempts.
    number : int
        Number of the attempt, from 0.
    host : str
        Name of the host whose endpoint process runs the attempt and retains
        its answer.
    """

    request: str
    number: int
    host: str

    def __str__(self) -> str:
        return f"{self.request}.{self.number}.{self.host}"


def new_attempt_id(*, host: str) -> AttemptId:
    """Return the identity of the first attempt of a new request."""
    request = secrets.token_hex(REQUEST_ID_BYTES)
    return AttemptId(request=request, number=0, host=host)


def parse_attempt_id(text: str) -> Result[AttemptId, AnswerError]:
    """Read an attempt's identity back from its text."""
    found = _PATTERN.fullmatch(text)
    if found is None:
        return Err(
            AnswerError(f"{text!r:.80} is not a request id; send one as it was given")
        )
    return Ok(AttemptId(request=found[1], number=int(found[2]), host=found[3]))
