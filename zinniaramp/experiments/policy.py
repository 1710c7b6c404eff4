"""Decisions under load and faults, against naive ones, by the same seed and plan."""

import asyncio
import json
import os
import subprocess
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil
from tornado.httpclient import AsyncHTTPClient

from ..clock import monotonic_clock
from ..contracts import RevisionId
from ..declarations import Declarations, read_declarations
from ..load import make_report, read_plan, run_load
from ..load.arrivals import generate_requests
from ..load.executions import Execution, read_executions
from ..load.plan import LoadPlan
from ..load.records import CallerRecord
from ..load.report import RunReport
from ..standins.fleet import FleetOptions, FleetProcess, bring_down, bring_up
from ..standins.options import ENGINE_WIDTH
from .limits import EngineUse, Window, engine_use, replay_prefills
from .scenarios import SCENARIOS, VARIANTS, EngineFault, Scenario
from .tables import Table, read_rows, write_table

__all__ = ["measure_policy"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
"""Directory of the example deployments."""

ENTRIES = 2
"""Entry processes of a run."""

ENGINES = 3
"""Engines of a run."""

WARM_UP_S = 3.0
"""Seconds at the start of a run that do not count in goodput."""

HEADINGS = [
    "plan",
    "decisions",
    "seed",
    "urgent first token met",
    "urgent finish met",
    "others' finish met",
    "good tokens/s",
    "of the engines' limit",
    "late answers, of the limit",
    "wasted",
    "engine tokens max/mean",
    "worst 3 s of urgent",
    "load average",
]


@dataclass(slots=True, kw_only=True)
class PolicyRun:
    """What one run showed."""

    report: RunReport
    records: list[CallerRecord]
    use: EngineUse
    window: Window
    engine_tokens: list[int]
    worst_urgent: float


class EngineFaults:
    """Does to the first engine what a scenario asks for.

    Parameters
    ----------
    engine : FleetProcess
        The engine stand-in.

    Attributes
    ----------
    lost : list of Execution
        What the engine had logged when it was killed.
    """

    __slots__ = ("command", "engine", "environment", "lost", "started")

    def __init__(self, *, engine: FleetProcess):
        self.engine = engine
        process = psutil.Process(engine.pid)
        self.command = process.cmdline()
        self.environment = process.environ()
        self.lost: list[Execution] = []
        self.started: subprocess.Popen | None = None

    async def run(self, faults: tuple[EngineFault, ...]) -> None:
        """Carry faults out at their times."""
        started = time.monotonic()
        for fault in faults:
            await asyncio.sleep(started + fault.at_s - time.monotonic())
            if fault.is_down:
                self.lost = await asyncio.to_thread(read_executions, [self.engine.url])
                psutil.Process(self.engine.pid).kill()
            elif self.lost:
                self.restart()
            else:
                await self.slow_down(fault.slow)

    async def slow_down(self, factor: float) -> None:
        """Change the time of the engine's steps."""
        await AsyncHTTPClient().fetch(
            f"{self.engine.url}/standin/faults",
            method="POST",
            body=f'{{"slow": {factor}}}',
        )

    def restart(self) -> None:
        """Start the engine again at its address."""
        self.started = subprocess.Popen(
            self.command, env=self.environment, stderr=subprocess.DEVNULL
        )

    def close(self) -> None:
        """End the engine that was started again."""
        if self.started is not None:
            self.started.terminate()
            self.started.wait()


def _plan(scenario: Scenario) -> LoadPlan:
    path = EXAMPLES / scenario.example / "plans" / f"{scenario.plan}.ini"
    return read_plan(path).unwrap()


def _declarations(plan: LoadPlan) -> Declarations:
    path = plan.declarations_path
    revision = RevisionId(index=1, digest="")
    return read_declarations(
        path.read_text(), file=str(path), revision=revision
    ).unwrap()


async def _load(
    plan: LoadPlan, seed: int, urls: list[str], faults: EngineFaults, scenario: Scenario
) -> list[CallerRecord]:
    doing = asyncio.create_task(faults.run(scenario.faults))
    records = await run_load(
        plan,
        urls=urls,
        seed=seed,
        clock=monotonic_clock(),
        progress=lambda planned, sent, ended: None,
    )
    await doing
    return records


def _run(scenario: Scenario, variant: str, seed: int, logs: str) -> PolicyRun:
    plan = _plan(scenario)
    options = FleetOptions(
        slow=scenario.slow,
        settings=VARIANTS[variant],
        declarations=plan.declarations_path,
    )
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(logs or name)
        fleet = bring_up(
            directory,
            entries=ENTRIES,
            endpoints=ENGINES,
            services=1,
            example=scenario.example,
            options=options,
        )
        engines = [one for one in fleet if one.role == "engine"]
        services = [one.url for one in fleet if one.role == "service"]
        entries = [one.url for one in fleet if one.role == "entry"]
        faults = EngineFaults(engine=engines[0])
        try:
            records = asyncio.run(_load(plan, seed, entries, faults, scenario))
            by_engine = [read_executions([one.url]) for one in engines]
            by_engine[0] += faults.lost
            served = read_executions(services)
        finally:
            faults.close()
            bring_down(directory)
    if logs:
        _write_records(Path(logs) / "records.json", records)
    return _judge(scenario, plan, seed, records, by_engine, served)


def _write_records(path: Path, records: list[CallerRecord]) -> None:
    """Write what callers saw, to be read beside the logs."""
    fields = [asdict(one) for one in records]
    for one in fields:
        del one["gaps"]
    path.write_text(json.dumps(fields, default=str, indent=1))


def _judge(
    scenario: Scenario,
    plan: LoadPlan,
    seed: int,
    records: list[CallerRecord],
    by_engine: list[list[Execution]],
    served: list[Execution],
) -> PolicyRun:
    declarations = _declarations(plan)
    duration = plan.settings.duration
    window = Window(start_s=WARM_UP_S, end_s=duration.total_seconds())
    judged = [
        one for one in records if one.offset.total_seconds() >= scenario.judged_from_s
    ]
    generated = [one for executions in by_engine for one in executions]
    report = make_report(
        judged,
        served,
        declarations,
        plan=scenario.plan,
        seed=seed,
        duration=duration,
    )
    whole_run = make_report(
        records,
        generated,
        declarations,
        plan=scenario.plan,
        seed=seed,
        duration=duration,
    )
    report.wasted_tokens = whole_run.wasted_tokens
    report.generated_tokens = whole_run.generated_tokens
    report.all_whole = whole_run.all_whole
    requests = generate_requests(plan, seed=seed)
    return PolicyRun(
        report=report,
        records=records,
        use=engine_use(
            requests,
            records,
            declarations,
            replay_prefills(requests, by_engine),
            window=window,
            width=ENGINE_WIDTH,
        ),
        window=window,
        engine_tokens=[sum(one.tokens for one in each) for each in by_engine],
        worst_urgent=_worst_span(records, declarations, scenario, duration),
    )


def _worst_span(records, declarations, scenario, duration) -> float:
    """Return the least first-token attainment of the urgent class in 3 s spans."""
    declared = declarations.classes[scenario.urgent]
    spans: dict[int, list[bool]] = {}
    for one in records:
        if one.class_name != scenario.urgent or one.fate == "vanished":
            continue
        is_met = one.fate == "whole" and one.first_token <= declared.first_token
        spans.setdefault(int(one.offset.total_seconds() // 3), []).append(is_met)
    return min((sum(span) / len(span) for span in spans.values()), default=1.0)


def _row(scenario_name: str, variant: str, seed: int, run: PolicyRun) -> list:
    scenario, report = SCENARIOS[scenario_name], run.report
    classes = {one.class_name: one for one in report.classes}
    urgent = classes[scenario.urgent]
    others = ", ".join(
        f"{name} {one.finish_attained:.0%}"
        for name, one in classes.items()
        if name != scenario.urgent
    )
    seconds = run.window.end_s - run.window.start_s
    wasted = report.wasted_tokens / max(1, report.generated_tokens)
    mean = sum(run.engine_tokens) / len(run.engine_tokens)
    return [
        scenario_name,
        variant,
        seed,
        f"{urgent.first_token_attained:.1%}",
        f"{urgent.finish_attained:.1%}",
        others,
        run.use.tokens / seconds,
        f"{run.use.seconds / (ENGINES * seconds):.1%}",
        f"{run.use.late_seconds / (ENGINES * seconds):.1%}",
        f"{wasted:.2%}",
        max(run.engine_tokens) / max(1.0, mean),
        f"{run.worst_urgent:.0%}",
        os.getloadavg()[0],
    ]


def _names(text) -> list[str]:
    if isinstance(text, (tuple, list)):
        return [str(one) for one in text]
    return [one.strip() for one in str(text).split(",") if one.strip()]


def measure_policy(
    plans: str = "",
    seeds: str = "1",
    decisions: str = "policy,first come",
    logs: str = "",
    keep: bool = False,
    name: str = "policy",
) -> None:
    """Compare decisions under load and faults.

    Parameters
    ----------
    plans : str
        Scenarios, separated by commas; all if empty.
    seeds : str
        Seeds, separated by commas.
    decisions : str
        Names in `zinniaramp.experiments.scenarios.VARIANTS`, separated by commas.
    logs : str
        Directory for the logs of the last run and what its callers saw; a temporary
        one if empty.
    keep : bool
        Keep the rows of the latest table that are not measured again.
    name : str
        Name of the table's files.
    """
    rows = read_rows(name) if keep else []
    for scenario_name in _names(plans) or list(SCENARIOS):
        for seed in map(int, _names(seeds)):
            for variant in _names(decisions):
                run = _run(SCENARIOS[scenario_name], variant, seed, logs)
                rows = [
                    one for one in rows if one[:3] != [scenario_name, variant, seed]
                ]
                rows.append(_row(scenario_name, variant, seed, run))
                print(*rows[-1], sep=" | ", flush=True)
                if not run.report.all_whole:
                    print("an answer was not whole or is missing", flush=True)
    table = Table(
        name=name,
        command=f"scripts/measure.sh policy --plans {','.join(_names(plans))} "
        f"--seeds {','.join(_names(seeds))} "
        f"--decisions '{','.join(_names(decisions))}'{' --keep' if keep else ''}",
        headings=HEADINGS,
        rows=rows,
        notes=[
            "The engines' limit is the time of three engines; used of it is what the "
            "tokens and prompts of good answers need by the speed law, in full "
            f"batches, from {WARM_UP_S:g} s on to the end of sending.",
            "Good answers are whole and met their first-token and finish targets, "
            "which for long classes are scaled down in the plans' declarations.",
            "A refused request has met no target.",
        ],
    )
    write_table(table)
