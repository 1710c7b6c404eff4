"""Writes the records of a load run for the history checker."""

from datetime import timedelta
from pathlib import Path

from ..declarations import Declarations
from ..history import ExecutionRecord, RequestRecord
from ..history.reading import RECORDS_SUFFIX, RUNS_SUFFIX, write_lines
from .executions import Execution
from .records import CallerRecord

__all__ = ["make_execution_records", "make_request_records", "save_run"]


def make_request_records(
    records: list[CallerRecord], declarations: Declarations
) -> list[RequestRecord]:
    """Convert callers' records to the records of the history checker."""
    return [_make_request_record(record, declarations) for record in records]


def _make_request_record(
    record: CallerRecord, declarations: Declarations
) -> RequestRecord:
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
    """Convert the stand-ins' executions to the records of the history checker."""
    return [
        ExecutionRecord(stand_in=execution.stand_in, mark=execution.mark)
        for execution in executions
    ]


def save_run(
    report: Path, requests: list[RequestRecord], runs: list[ExecutionRecord]
) -> None:
    """Write the records of a run to the directory of its report.

    Parameters
    ----------
    report : Path
        Path of the report; the names of the files begin with its name.
    requests : list of RequestRecord
        Records of the callers.
    runs : list of ExecutionRecord
        Executions by the stand-ins.
    """
    write_lines(report.with_name(report.name + RECORDS_SUFFIX), requests)
    write_lines(report.with_name(report.name + RUNS_SUFFIX), runs)
