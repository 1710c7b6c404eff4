"""Ids of attempts."""

import re
import secrets
from dataclasses import dataclass

from result import Err, Ok, Result

__all__ = ["AnswerError", "AttemptId", "new_attempt_id", "parse_attempt_id"]

REQUEST_ID_BYTES = 12
"""Number of random bytes in a request id."""

_PATTERN = re.compile(r"([0-9a-f]{24})\.([0-9]{1,3})\.([a-z0-9-]{1,40})")


class AnswerError(Exception):
    """The id or the content of an answer is invalid."""


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptId:
    """Id of an attempt; callers receive its text as the request id.

    Parameters
    ----------
    request : str
        Random id of the request, in hexadecimal; the same for all its attempts.
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
    """Return the id of the first attempt of a new request."""
    request = secrets.token_hex(REQUEST_ID_BYTES)
    return AttemptId(request=request, number=0, host=host)


def parse_attempt_id(text: str) -> Result[AttemptId, AnswerError]:
    """Parse the text of an attempt id."""
    matched = _PATTERN.fullmatch(text)
    if matched is None:
        return Err(
            AnswerError(f"{text!r:.80} is not a request id; send one as received")
        )
    return Ok(AttemptId(request=matched[1], number=int(matched[2]), host=matched[3]))
