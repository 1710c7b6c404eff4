"""The verbs ``load`` and ``report``."""

import asyncio
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

from result import Err, Ok

from ..clock import monotonic_clock
from ..contracts import RevisionId
from ..declarations import Declarations, read_declarations
from ..history import (
    Breach,
    History,
    HistoryError,
    Limits,
    check_history,
    read_history,
    read_log,
)
from ..load import (
    LoadPlan,
    RunReport,
    make_report,
    read_plan,
    read_report,
    render_table,
    run_load,
    write_report,
)
from ..load.executions import Execution, read_executions
from ..load.records import CallerRecord
from ..load.saving import make_execution_records, make_request_records, save_run
from ..standins.fleet import FleetProcess, read_fleet
from .output import EXIT_USAGE, fail, print_json, verb

__all__ = ["load", "report"]

EXIT_FAILED = 1
"""Exit code if an answer was incomplete or a guarantee was violated."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RunRecords:
    """Records of the callers and of the stand-ins of one run."""

    records: list[CallerRecord]
    executions: list[Execution]


def _unwrap_or_exit(result):
    match result:
        case Ok(value):
            return value
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            sys.exit(EXIT_USAGE)


def _print_progress(planned: int, sent: int, ended: int) -> None:
    print(f"sent {sent} of {planned}, ended {ended}", file=sys.stderr)


def _read_targets(path: Path) -> Declarations:
    """Return the declarations whose targets a run is measured against."""
    revision = RevisionId(index=1, digest="")
    text = path.read_text()
    return _unwrap_or_exit(read_declarations(text, file=str(path), revision=revision))


def _send_plan(plan: LoadPlan, fleet: list[FleetProcess], seed: int) -> RunRecords:
    """Run a plan and return the records of the callers and of the stand-ins."""
    entries = [process.url for process in fleet if process.role == "entry"]
    stand_in_urls = [
        process.url for process in fleet if process.role in ("engine", "service")
    ]
    load_run = run_load(
        plan,
        urls=entries,
        seed=seed,
        clock=monotonic_clock(),
        progress=_print_progress,
    )
    records = asyncio.run(load_run)
    return RunRecords(records=records, executions=read_executions(stand_in_urls))


def _make_history(
    run: RunRecords, targets: Declarations, fleet: list[FleetProcess]
) -> History:
    """Return the history of a run, as input of the checker."""
    logs = {
        process.name: read_log(Path(process.log))
        for process in fleet
        if process.settings
    }
    return History(
        requests=make_request_records(run.records, targets),
        runs=make_execution_records(run.executions),
        logs=logs,
    )


@verb(flags=("json",), numbers=("seed",))
def load(
    plan: str, fleet: str, seed: float = 1, report: str = "", *, json: bool = False
) -> None:
    """Run a plan against a fleet, print its table and check its history.

    Parameters
    ----------
    plan : str
        Path of the plan, an INI file.
    fleet : str
        Directory of the fleet's ``fleet.json``.
    seed : float
        Seed of the requests and their times, an integer.
    report : str
        Path of the JSON report to write; the callers' records and the stand-ins'
        runs are written to the same directory.
    json : bool
        Print the report as JSON instead of the table.
    """
    checked_plan = _unwrap_or_exit(read_plan(Path(plan)))
    targets = _read_targets(checked_plan.declarations_path)
    processes = read_fleet(Path(fleet))
    run = _send_plan(checked_plan, processes, int(seed))
    run_report = make_report(
        run.records,
        run.executions,
        targets,
        plan=plan,
        seed=int(seed),
        duration=checked_plan.settings.duration,
    )
    history = _make_history(run, targets, processes)
    if report:
        write_report(run_report, Path(report))
        save_run(Path(report), history.requests, history.runs)
    _print_report(run_report, json)
    breaches = check_history(history)
    _print_breaches(breaches)
    sys.exit(0 if run_report.meets_guarantees() and not breaches else EXIT_FAILED)


def _print_breaches(breaches: list[Breach]) -> None:
    for breach in breaches:
        print(breach, file=sys.stderr)


def _print_report(run_report: RunReport, is_json: bool) -> None:
    if is_json:
        print_json(asdict(run_report))
    else:
        print(render_table(run_report))


@verb(flags=("json",), numbers=("progress_s",))
def report(
    file: str = "",
    *,
    json: bool = False,
    check: str = "",
    progress_s: float = Limits().progress_s,
) -> None:
    """Print the table of a report that `load` wrote, or check the history of a run.

    Parameters
    ----------
    file : str
        Path of the report.
    json : bool
        Print the report as JSON instead of the table.
    check : str
        Directory of a run, with its logs and the records that `load` wrote; each
        violated invariant is printed.
    progress_s : float
        Longest time that an admitted request may wait without progress, in seconds.
    """
    if check:
        _check_directory(Path(check), Limits(progress_s=progress_s))
        return
    if not file:
        fail("specify a report, or --check and a directory", EXIT_USAGE)
    _print_report(read_report(Path(file)), json)


def _check_directory(directory: Path, limits: Limits) -> None:
    try:
        history = read_history(directory)
    except HistoryError as error:
        fail(str(error), EXIT_USAGE)
    breaches = check_history(history, limits)
    for breach in breaches:
        print(breach)
    print(
        f"{len(history.requests)} requests, {len(history.runs)} runs and "
        f"{len(history.logs)} logs checked: {len(breaches)} breaches"
    )
    sys.exit(EXIT_FAILED if breaches else 0)
