"""Reading JSON over HTTP with timeouts, polling intervals and backoff."""

from .core import (
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

__all__ = [
    "Backoff",
    "JsonAnswer",
    "ReadAnswer",
    "ReadError",
    "ReadJson",
    "make_answer_reader",
    "make_http_reader",
    "parse_retry_after",
    "polling_interval",
]
