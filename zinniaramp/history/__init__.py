"""Checks the recorded history of a run against the guarantees of the system."""

from .breaches import Breach, Guarantee
from .core import check_history
from .reading import HistoryError, read_history, read_log
from .records import ExecutionRecord, History, Limits, LogLine, Outage, RequestRecord

__all__ = [
    "Breach",
    "ExecutionRecord",
    "Guarantee",
    "History",
    "HistoryError",
    "Limits",
    "LogLine",
    "Outage",
    "RequestRecord",
    "check_history",
    "read_history",
    "read_log",
]
