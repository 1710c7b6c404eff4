"""Answers as numbered chunks: identity, assembly, retention."""

from .core import AttemptId, new_attempt_id, parse_attempt_id

__all__ = ["AttemptId", "new_attempt_id", "parse_attempt_id"]
