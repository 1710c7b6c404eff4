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
from ..load.saving import request_records, run_records, save_run
from ..standins.fleet import FleetProcess, read_fleet
from .output import EXIT_USAGE, fail, print_json, verb

__all__ = ["load", "report"]

EXIT_NOT_WHOLE = 1
"""Exit code when an answer was not whole or a promise was broken."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RunRecords:
    """What callers and stand-ins saw of one run."""

    records: list[CallerRecord]
    executions: list[Execution]


def _checked(result):
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
    """Return the declarations that a run is judged by."""
    revision = RevisionId(index=1, digest="")
    text = path.read_text()
    return _checked(read_declarations(text, file=str(path), revision=revision))


def _send_plan(plan: LoadPlan, fleet: list[FleetProcess], seed: int) -> RunRecords:
    """Run a plan and return what callers and stand-ins saw."""
    entries = [one.url for one in fleet if one.role == "entry"]
    runners = [one.url for one in fleet if one.role in ("engine", "service")]
    sending = run_load(
        plan,
        urls=entries,
        seed=seed,
        clock=monotonic_clock(),
        progress=_print_progress,
    )
    records = asyncio.run(sending)
    return RunRecords(records=records, executions=read_executions(runners))


def _history(
    run: RunRecords, targets: Declarations, fleet: list[FleetProcess]
) -> History:
    """Return a run's history, for the checker."""
    logs = {one.name: read_log(Path(one.log)) for one in fleet if one.settings}
    return History(
        requests=request_records(run.records, targets),
        runs=run_records(run.executions),
        logs=logs,
    )


@verb(flags=("json",), numbers=("seed",))
def load(
    plan: str, fleet: str, seed: float = 1, report: str = "", *, json: bool = False
) -> None:
    """Run a plan against a fleet, print its table and judge its history.

    Parameters
    ----------
    plan : str
        INI file of the plan.
    fleet : str
        Directory that holds the fleet's ``fleet.json``.
    seed : float
        Seed of the requests and their times; a whole number.
    report : str
        File to write the report to, as JSON; the callers' records and the
        stand-ins' runs are written beside it.
    json : bool
        Print the report as JSON in place of the table.
    """
    checked_plan = _checked(read_plan(Path(plan)))
    targets = _read_targets(checked_plan.declarations_path)
    processes = read_fleet(Path(fleet))
    run = _send_plan(checked_plan, processes, int(seed))
    made = make_report(
        run.records,
        run.executions,
        targets,
        plan=plan,
        seed=int(seed),
        duration=checked_plan.settings.duration,
    )
    history = _history(run, targets, processes)
    if report:
        write_report(made, Path(report))
        save_run(Path(report), history.requests, history.runs)
    _print_report(made, json)
    breaches = check_history(history)
    _print_breaches(breaches)
    sys.exit(0 if made.keeps_promises() and not breaches else EXIT_NOT_WHOLE)


def _print_breaches(breaches: list[Breach]) -> None:
    for breach in breaches:
        print(breach, file=sys.stderr)


def _print_report(made: RunReport, is_json: bool) -> None:
    if is_json:
        print_json(asdict(made))
    else:
        print(render_table(made))


@verb(flags=("json",), numbers=("progress_s",))
def report(
    file: str = "",
    *,
    json: bool = False,
    check: str = "",
    progress_s: float = Limits().progress_s,
) -> None:
    """Print the table of a report that `load` wrote, or judge a run's history.

    Parameters
    ----------
    file : str
        The report.
    json : bool
        Print the report as JSON in place of the table.
    check : str
        Directory of a run: its logs, and the records that `load` wrote beside its
        report.  Each breach of what must always hold is named.
    progress_s : float
        Longest time that an admitted request may wait without progress.
    """
    if check:
        _check_directory(Path(check), Limits(progress_s=progress_s))
        return
    if not file:
        fail("give a report, or --check and a directory", EXIT_USAGE)
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
    sys.exit(EXIT_NOT_WHOLE if breaches else 0)
