"""Random faults, two at a time, in a fleet under mixed load (a soak test)."""

import asyncio
import json
import tempfile
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from random import Random

from ..clock import monotonic_clock
from ..contracts import RevisionId
from ..declarations import read_declarations
from ..history import Breach, History, Limits, check_history, read_log
from ..history.reading import OUTAGES_FILE, write_lines
from ..load import LoadPlan, read_plan, run_load
from ..load.executions import read_executions
from ..load.records import CallerOutcome, CallerRecord
from ..load.saving import make_execution_records, make_request_records, save_run
from ..standins.deployments import EXAMPLES
from ..standins.fleet import FleetOptions, bring_up
from ..standins.forwarder import Forwarder
from ..standins.processes import terminate_processes
from .fleet_faults import FAULTS, FaultyFleet, choose_fault
from .tables import MEASUREMENTS, Table, write_table

__all__ = ["measure_soak"]

EXAMPLE = "kilometerwerk"
"""Example deployment of the test; some of its classes must not run twice."""

CONCURRENT_FAULTS = 2
"""Number of concurrent sequences of faults."""

FAULT_SECONDS = (0.3, 6.0)
"""Shortest and longest duration of a fault, in seconds."""

PAUSE_SECONDS = (0.2, 2.0)
"""Shortest and longest time before the next fault of a sequence, in seconds."""

GRACE = timedelta(seconds=60)
"""Longest wait for outstanding answers after the last request."""

SETTINGS = {"fleet": {"heartbeat": "0.3", "silence": "1", "drain_limit": "25"}}
"""Settings whose silence limit can expire during a fault."""

LIMITS = Limits(progress_s=60)

HEADINGS = [
    "seed",
    "seconds",
    "faults",
    "requests",
    "whole",
    "refused",
    "unknown",
    "broken off",
    "vanished",
    "runs",
    "breaches",
]


@dataclass(slots=True, kw_only=True)
class SoakRun:
    """One soak test with random load and faults.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    seconds : float
        Duration of the load and the faults, in seconds.
    injected : Counter
        Number of injected faults by name.
    busy : set of str
        Names of the processes that have a fault.
    """

    seed: int
    seconds: float
    injected: Counter = field(default_factory=Counter)
    busy: set[str] = field(default_factory=set)

    async def inject_faults(self, fleet: FaultyFleet, number: int) -> None:
        """Inject random faults in sequence for the duration of the test."""
        random_source = Random(f"{self.seed}/faults/{number}")
        loop = asyncio.get_running_loop()
        end_time = loop.time() + self.seconds
        while True:
            await asyncio.sleep(random_source.uniform(*PAUSE_SECONDS))
            if loop.time() >= end_time:
                return
            fault, target = choose_fault(fleet, self.busy, random_source)
            self.busy.add(target.name)
            self.injected[fault.name] += 1
            duration_s = random_source.uniform(*FAULT_SECONDS)
            print(f"{end_time - loop.time():.1f} s left: {target.name} {fault.name}")
            await fault.inject(fleet, target, duration_s)
            self.busy.discard(target.name)

    async def run(self, fleet: FaultyFleet, plan: LoadPlan) -> list[CallerRecord]:
        """Run load and faults concurrently and return the records of the callers."""
        faults = [
            self.inject_faults(fleet, number) for number in range(CONCURRENT_FAULTS)
        ]
        load = run_load(
            plan,
            urls=[process.url for process in fleet.in_roles("entry")],
            seed=self.seed,
            clock=fleet.clock,
            progress=lambda *_: None,
        )
        records, *_ = await asyncio.gather(load, *faults)
        return records


def _read_plan(seconds: float) -> LoadPlan:
    plan = read_plan(EXAMPLES / EXAMPLE / "plan.ini").unwrap()
    duration = timedelta(seconds=seconds)
    settings = replace(plan.settings, duration=duration, grace=GRACE)
    return replace(plan, settings=settings)


def _run_soak(soak: SoakRun, directory: Path) -> list:
    forwarders: dict[str, Forwarder] = {}

    def advertise(address: str) -> str:
        forwarder = forwarders[address] = Forwarder(address=address)
        return forwarder.address

    text = (EXAMPLES / EXAMPLE / "declarations.ini").read_text()
    processes = bring_up(
        directory,
        entries=2,
        endpoints=3,
        services=1,
        example=EXAMPLE,
        options=FleetOptions(advertise=advertise, settings=SETTINGS),
    )
    fleet = FaultyFleet(
        processes=processes,
        forwarders={
            process.name: forwarders[process.address]
            for process in processes
            if process.role == "endpoint"
        },
        declarations=text,
        clock=monotonic_clock(),
    )
    daemons = fleet.in_roles("entry", "endpoint")
    try:
        records = asyncio.run(soak.run(fleet, _read_plan(soak.seconds)))
        executions = read_executions(
            [process.url for process in fleet.in_roles("engine", "service")]
        )
    finally:
        terminate_processes(daemons)
        terminate_processes(
            [process for process in processes if process not in daemons]
        )
        for forwarder in forwarders.values():
            forwarder.close()
    revision = RevisionId(index=1, digest="")
    declarations = read_declarations(text, file=EXAMPLE, revision=revision).unwrap()
    history = History(
        requests=make_request_records(records, declarations),
        runs=make_execution_records(executions),
        logs={process.name: read_log(Path(process.log)) for process in daemons},
        outages=fleet.outages,
    )
    save_run(directory / "soak", history.requests, history.runs)
    write_lines(directory / OUTAGES_FILE, history.outages)
    breaches = check_history(history, LIMITS)
    _print_breaches(breaches)
    return _make_row(soak, records, history, breaches)


def _print_breaches(breaches: list[Breach]) -> None:
    for breach in breaches:
        print(breach)


def _make_row(
    soak: SoakRun, records: list[CallerRecord], history: History, breaches: list[Breach]
) -> list:
    fates = Counter(record.fate for record in records)
    return [
        soak.seed,
        soak.seconds,
        sum(soak.injected.values()),
        len(records),
        fates[CallerOutcome.WHOLE],
        fates[CallerOutcome.REFUSED],
        fates[CallerOutcome.UNKNOWN],
        fates[CallerOutcome.CUT]
        + fates[CallerOutcome.UNANSWERED]
        + fates[CallerOutcome.WRONG],
        fates[CallerOutcome.VANISHED],
        len(history.runs),
        len(breaches),
    ]


def _rows_of_other_seeds(seed: int) -> list[list]:
    path = MEASUREMENTS / "soak.json"
    rows = json.loads(path.read_text())["rows"] if path.exists() else []
    return [row for row in rows if row[0] != seed]


def measure_soak(seed: int = 1, seconds: float = 120, directory: str = "") -> None:
    """Run a soak test with random faults and check its history.

    Parameters
    ----------
    seed : int
        Seed of the load and of the faults.
    seconds : float
        Duration of the load and the faults, in seconds.
    directory : str
        Directory in which logs and records are kept; a temporary one if empty.
    """
    soak = SoakRun(seed=seed, seconds=seconds)
    if directory:
        row = _run_soak(soak, Path(directory))
    else:
        with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
            row = _run_soak(soak, Path(name))
    rows = sorted([*_rows_of_other_seeds(seed), row], key=lambda cells: cells[0])
    table = Table(
        name="soak",
        command="scripts/measure.sh soak --seed SEED --seconds SECONDS",
        headings=HEADINGS,
        rows=rows,
        notes=[
            f"Two entries, three engines and a plain service under the plan of "
            f"{EXAMPLE}; {CONCURRENT_FAULTS} faults at a time of {len(FAULTS)} kinds.",
            "Broken off: the answer is incomplete because the entry process failed, or "
            "because the endpoint or engine failed and the caller received an error; "
            "any other case is a breach. Runs: executions by engines and the service.",
        ],
    )
    write_table(table)
