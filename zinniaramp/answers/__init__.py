"""Identity and assembly of answers."""

from .assembly import Addition, Assembly
from .core import AnswerError, AttemptId, new_attempt_id, parse_attempt_id

__all__ = [
    "Addition",
    "AnswerError",
    "Assembly",
    "AttemptId",
    "new_attempt_id",
    "parse_attempt_id",
]
