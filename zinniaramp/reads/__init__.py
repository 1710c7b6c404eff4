"""Reading JSON over HTTP with timeouts, polling intervals and backoff."""

from .core import (
    MAX_ANSWER_BYTES,
    Backoff,
    JsonAnswer,
    ReadAnswer,
    ReadError,
    ReadJson,
    make_answer_reader,
    make_http_reader,
    parse_retry_after,
    polling_interval,
)
from .heads import has_whole_head

__all__ = [
    "MAX_ANSWER_BYTES",
    "Backoff",
    "JsonAnswer",
    "ReadAnswer",
    "ReadError",
    "ReadJson",
    "has_whole_head",
    "make_answer_reader",
    "make_http_reader",
    "parse_retry_after",
    "polling_interval",
]
