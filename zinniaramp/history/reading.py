"""Reads and writes the files of a run's history.

The directory of a run contains ``*.records.jsonl`` and ``*.runs.jsonl``, which the
load tool writes to the directory of its report, the logs ``*.log`` of the processes,
and ``outages.jsonl`` if faults were injected.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from datetime import datetime
from pathlib import Path

from .records import ExecutionRecord, History, LogLine, Outage, RequestRecord

__all__ = [
    "HistoryError",
    "OUTAGES_FILE",
    "RECORDS_SUFFIX",
    "RUNS_SUFFIX",
    "read_history",
    "read_log",
    "write_lines",
]

RECORDS_SUFFIX = ".records.jsonl"
RUNS_SUFFIX = ".runs.jsonl"
OUTAGES_FILE = "outages.jsonl"


class HistoryError(Exception):
    """Raised if a run's history is malformed or incomplete."""


def write_lines(path: Path, records: Iterable) -> None:
    """Write dataclass records to a file, one JSON object a line."""
    lines = (json.dumps(asdict(record)) for record in records)
    path.write_text("".join(f"{line}\n" for line in lines))


def read_history(directory: Path) -> History:
    """Read the history of a run from its directory.

    Processes whose logs contain no event are left out.

    Parameters
    ----------
    directory : Path
        Directory of the run.

    Raises
    ------
    HistoryError
        A file is malformed, or there are no callers' records or no logs.
    """
    logs = {path.stem: read_log(path) for path in sorted(directory.glob("*.log"))}
    history = History(
        requests=_read_all(directory.glob(f"*{RECORDS_SUFFIX}"), RequestRecord),
        runs=_read_all(directory.glob(f"*{RUNS_SUFFIX}"), ExecutionRecord),
        logs={name: lines for name, lines in logs.items() if lines},
        outages=_read_all(directory.glob(OUTAGES_FILE), Outage),
    )
    if not history.requests or not history.logs:
        raise HistoryError(
            f"{directory} contains no {'logs' if history.requests else 'records'}; "
            "specify the directory of a fleet that contains a load report"
        )
    return history


def _read_all(paths: Iterable[Path], record_class) -> list:
    records = []
    for path in sorted(paths):
        for line in path.read_text().splitlines():
            try:
                records.append(record_class(**json.loads(line)))
            except (ValueError, TypeError) as error:
                raise HistoryError(f"{path}: {line!r}: {error}") from error
    return records


def read_log(path: Path) -> list[LogLine]:
    """Return the events of a process's log.

    Lines that are not JSON, or not an event, are skipped: a process that is killed
    may leave an incomplete line.
    """
    with path.open(errors="replace") as lines:
        return list(_events(path.stem, lines))


def _events(process: str, lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        try:
            fields = json.loads(text)
            moment = datetime.fromisoformat(fields["time"]).timestamp()
            name = fields["name"]
        except (ValueError, KeyError, TypeError):
            continue
        yield LogLine(process=process, time=moment, name=name, fields=fields)
