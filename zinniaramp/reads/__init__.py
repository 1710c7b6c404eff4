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
    make_transfer_reader,
    parse_retry_after,
    polling_interval,
)
from .heads import has_whole_head
from .transfers import LARGE_ANSWER_BYTES, Transfer

__all__ = [
    "LARGE_ANSWER_BYTES",
    "MAX_ANSWER_BYTES",
    "Backoff",
    "JsonAnswer",
    "ReadAnswer",
    "ReadError",
    "ReadJson",
    "Transfer",
    "has_whole_head",
    "make_answer_reader",
    "make_http_reader",
    "make_transfer_reader",
    "parse_retry_after",
    "polling_interval",
]
