"""Judges the history of a run by what must always hold."""

from .breaches import Breach, Guarantee
from .core import check_history
from .reading import HistoryError, read_history, read_log
from .records import ExecutionRecord, History, Limits, LogLine, Outage, RequestRecord

__all__ = [
    "Breach",
    "History",
    "HistoryError",
    "Limits",
    "LogLine",
    "Outage",
    "Guarantee",
    "RequestRecord",
    "ExecutionRecord",
    "check_history",
    "read_history",
    "read_log",
]
