"""Identity, assembly, reading and retention of answers."""

from .assembly import Addition, Assembly
from .core import AnswerError, AttemptId, new_attempt_id, parse_attempt_id
from .event_reader import EventReader

__all__ = [
    "Addition",
    "AnswerError",
    "Assembly",
    "AttemptId",
    "EventReader",
    "new_attempt_id",
    "parse_attempt_id",
]
