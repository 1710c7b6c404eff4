"""The history of a load run, for the checker."""

from datetime import timedelta
from pathlib import Path

from ..declarations import Declarations
from ..history import ExecutionRecord, RequestRecord
from ..history.reading import RECORDS_SUFFIX, RUNS_SUFFIX, write_lines
from .executions import Execution
from .records import CallerRecord

__all__ = ["make_request_records", "make_execution_records", "save_run"]


def make_request_records(
    records: list[CallerRecord], declarations: Declarations
) -> list[RequestRecord]:
    """Return callers' records as the checker reads them."""
    return [_request_record(one, declarations) for one in records]


def _request_record(record: CallerRecord, declarations: Declarations) -> RequestRecord:
    ended = record.planned + (record.finish or timedelta(0))
    return RequestRecord(
        mark=record.mark,
        class_name=record.class_name,
        is_repeatable=declarations.classes[record.class_name].repeatable,
        entry=record.url,
        sent=record.planned.timestamp(),
        ended=ended.timestamp(),
        fate=record.fate.value,
        outcome=record.outcome,
        request_id=record.request_id,
        sends=record.sends,
        not_run_answers=record.not_run_answers,
    )


def make_execution_records(executions: list[Execution]) -> list[ExecutionRecord]:
    """Return the stand-ins' executions as the checker reads them."""
    return [ExecutionRecord(stand_in=one.stand_in, mark=one.mark) for one in executions]


def save_run(
    report: Path, requests: list[RequestRecord], runs: list[ExecutionRecord]
) -> None:
    """Write the records beside a report.

    Parameters
    ----------
    report : Path
        File of the report.
    requests, runs : list
        What callers and stand-ins recorded.
    """
    write_lines(report.with_name(report.name + RECORDS_SUFFIX), requests)
    write_lines(report.with_name(report.name + RUNS_SUFFIX), runs)
