"""A soak: random faults, two at a time, in a fleet under mixed load."""

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
from .fleet_faults import FAULTS, FaultyFleet, choose
from .tables import MEASUREMENTS, Table, write_table

__all__ = ["measure_soak"]

EXAMPLE = "kilometerwerk"
"""Deployment under soak; it has classes that may not be repeated."""

AT_A_TIME = 2
"""Faults that are in force at a time."""

HOLD_SECONDS = (0.3, 6.0)
"""Shortest and longest time for which a fault is held, in seconds."""

REST_SECONDS = (0.2, 2.0)
"""Shortest and longest time between two faults of one sequence, in seconds."""

GRACE = timedelta(seconds=60)
"""Longest wait for answers after the last request."""

SETTINGS = {"fleet": {"heartbeat": "0.3", "silence": "1", "drain_limit": "25"}}
"""Settings under which silence is noticed while a fault lasts."""

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
class Soak:
    """One soak.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    seconds : float
        Time for which there are load and faults.
    """

    seed: int
    seconds: float
    injected: Counter = field(default_factory=Counter)
    busy: set[str] = field(default_factory=set)

    async def inject_until(self, fleet: FaultyFleet, number: int) -> None:
        """Inject one fault after another until the time is over."""
        random_source = Random(f"{self.seed}/faults/{number}")
        loop = asyncio.get_running_loop()
        until = loop.time() + self.seconds
        while True:
            await asyncio.sleep(random_source.uniform(*REST_SECONDS))
            if loop.time() >= until:
                return
            fault, target = choose(fleet, self.busy, random_source)
            self.busy.add(target.name)
            self.injected[fault.name] += 1
            hold_s = random_source.uniform(*HOLD_SECONDS)
            print(f"{until - loop.time():.1f} s left: {target.name} {fault.name}")
            await fault.inject(fleet, target, hold_s)
            self.busy.discard(target.name)

    async def run(self, fleet: FaultyFleet, plan: LoadPlan) -> list[CallerRecord]:
        """Run load and faults side by side; return the callers' records."""
        faults = [self.inject_until(fleet, number) for number in range(AT_A_TIME)]
        load = run_load(
            plan,
            urls=[one.url for one in fleet.of_role("entry")],
            seed=self.seed,
            clock=fleet.clock,
            progress=lambda *_: None,
        )
        records, *_ = await asyncio.gather(load, *faults)
        return records


def _plan(seconds: float) -> LoadPlan:
    plan = read_plan(EXAMPLES / EXAMPLE / "plan.ini").unwrap()
    duration = timedelta(seconds=seconds)
    settings = replace(plan.settings, duration=duration, grace=GRACE)
    return replace(plan, settings=settings)


def _soak(soak: Soak, directory: Path) -> list:
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
            one.name: forwarders[one.address]
            for one in processes
            if one.role == "endpoint"
        },
        declarations=text,
        clock=monotonic_clock(),
    )
    daemons = fleet.of_role("entry", "endpoint")
    try:
        records = asyncio.run(soak.run(fleet, _plan(soak.seconds)))
        executions = read_executions(
            [one.url for one in fleet.of_role("engine", "service")]
        )
    finally:
        terminate_processes(daemons)
        terminate_processes([one for one in processes if one not in daemons])
        for forwarder in forwarders.values():
            forwarder.close()
    revision = RevisionId(index=1, digest="")
    declarations = read_declarations(text, file=EXAMPLE, revision=revision).unwrap()
    history = History(
        requests=make_request_records(records, declarations),
        runs=make_execution_records(executions),
        logs={one.name: read_log(Path(one.log)) for one in daemons},
        outages=fleet.outages,
    )
    save_run(directory / "soak", history.requests, history.runs)
    write_lines(directory / OUTAGES_FILE, history.outages)
    breaches = check_history(history, LIMITS)
    _print_breaches(breaches)
    return _row(soak, records, history, breaches)


def _print_breaches(breaches: list[Breach]) -> None:
    for breach in breaches:
        print(breach)


def _row(
    soak: Soak, records: list[CallerRecord], history: History, breaches: list[Breach]
) -> list:
    fates = Counter(one.fate for one in records)
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


def _earlier_rows(seed: int) -> list[list]:
    path = MEASUREMENTS / "soak.json"
    rows = json.loads(path.read_text())["rows"] if path.exists() else []
    return [row for row in rows if row[0] != seed]


def measure_soak(seed: int = 1, seconds: float = 120, directory: str = "") -> None:
    """Soak a fleet under random faults and judge its history.

    Parameters
    ----------
    seed : int
        Seed of the load and of the faults.
    seconds : float
        Time for which there are load and faults.
    directory : str
        Where logs and records are kept; not kept if left out.
    """
    soak = Soak(seed=seed, seconds=seconds)
    if directory:
        row = _soak(soak, Path(directory))
    else:
        with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
            row = _soak(soak, Path(name))
    rows = sorted([*_earlier_rows(seed), row], key=lambda one: one[0])
    table = Table(
        name="soak",
        command="scripts/measure.sh soak --seed SEED --seconds SECONDS",
        headings=HEADINGS,
        rows=rows,
        notes=[
            f"Two entries, three engines and a plain service under the plan of "
            f"{EXAMPLE}; {AT_A_TIME} faults at a time of {len(FAULTS)} kinds.",
            "Broken off: without a whole answer, as the entry process failed, or "
            "as the endpoint or engine failed and the caller was told so; any other "
            "is a breach. Runs: requests that engines and the service took.",
        ],
    )
    write_table(table)
