"""Judges the history of a run by what must always hold."""

from .breaches import Breach, Promise
from .core import check_history
from .reading import HistoryError, read_history, read_log
from .records import History, Limits, LogLine, Outage, RequestRecord, RunRecord

__all__ = [
    "Breach",
    "History",
    "HistoryError",
    "Limits",
    "LogLine",
    "Outage",
    "Promise",
    "RequestRecord",
    "RunRecord",
    "check_history",
    "read_history",
    "read_log",
]
