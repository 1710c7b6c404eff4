"""Attempt ids, and the parsing, assembly and retention of answers."""

from .assembly import Assembly, AssemblyResult
from .core import AnswerError, AttemptId, new_attempt_id, parse_attempt_id
from .event_reader import EventReader

__all__ = [
    "AnswerError",
    "Assembly",
    "AssemblyResult",
    "AttemptId",
    "EventReader",
    "new_attempt_id",
    "parse_attempt_id",
]
