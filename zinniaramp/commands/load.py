"""The verbs ``load`` and ``report``."""

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path

from result import Err, Ok

from ..clock import monotonic_clock
from ..contracts import RevisionId
from ..declarations import read_declarations
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
    make_report,
    read_plan,
    read_report,
    render_table,
    run_load,
    write_report,
)
from ..load.executions import read_executions
from ..load.saving import request_records, run_records, save_run
from ..standins.fleet import read_fleet
from .output import EXIT_USAGE, fail

__all__ = ["load", "report"]

EXIT_NOT_WHOLE = 1
"""Exit code when an answer was not whole or a promise was broken."""


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


def load(
    plan: str, fleet: str, seed: int = 1, report: str = "", as_json: bool = False
) -> None:
    """Run a plan against a fleet and print its table.

    Parameters
    ----------
    plan : str
        INI file of the plan.
    fleet : str
        Directory that holds the fleet's ``fleet.json``.
    seed : int
        Seed of the requests and their times.
    report : str
        File to write the report to, as JSON.
    as_json : bool
        Print the report as JSON in place of the table.
    """
    checked_plan = _checked(read_plan(Path(plan)))
    path = checked_plan.declarations_path
    declarations = _checked(
        read_declarations(
            path.read_text(), file=str(path), revision=RevisionId(index=1, digest="")
        )
    )
    processes = read_fleet(Path(fleet))
    entries = [one.url for one in processes if one.role == "entry"]
    runners = [one.url for one in processes if one.role in ("engine", "service")]
    records = asyncio.run(
        run_load(
            checked_plan,
            urls=entries,
            seed=seed,
            clock=monotonic_clock(),
            progress=_print_progress,
        )
    )
    executions = read_executions(runners)
    made = make_report(
        records,
        executions,
        declarations,
        plan=plan,
        seed=seed,
        duration=checked_plan.settings.duration,
    )
    history = History(
        requests=request_records(records, declarations),
        runs=run_records(executions),
        logs={one.name: read_log(Path(one.log)) for one in processes if one.settings},
    )
    if report:
        write_report(made, Path(report))
        save_run(Path(report), history.requests, history.runs)
    _print_report(made, as_json)
    breaches = check_history(history)
    _print_breaches(breaches)
    is_kept = made.all_whole and not made.doubled_marks and not made.untrue_not_run
    sys.exit(0 if is_kept and not breaches else EXIT_NOT_WHOLE)


def _print_breaches(breaches: list[Breach]) -> None:
    for breach in breaches:
        print(breach, file=sys.stderr)


def _print_report(made, as_json: bool) -> None:
    if as_json:
        print(json.dumps(asdict(made)))
    else:
        print(render_table(made))


def report(
    file: str = "",
    as_json: bool = False,
    check: str = "",
    progress_s: float = Limits().progress_s,
) -> None:
    """Print the table of a report that `load` wrote, or judge a run's history.

    Parameters
    ----------
    file : str
        The report.
    as_json : bool
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
    _print_report(read_report(Path(file)), as_json)


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
