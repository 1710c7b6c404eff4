"""Comparison of scheduling and routing policies under the same load and faults."""

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
from .limits import EngineUsage, Window, compute_engine_usage, replay_prefills
from .scenarios import SCENARIOS, VARIANTS, EngineFault, Scenario
from .tables import Table, read_rows, write_table

__all__ = ["measure_policy"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
"""Directory of the example deployments."""

ENTRIES = 2
"""Number of entry processes in a run."""

ENGINES = 3
"""Number of engines in a run."""

WARM_UP_S = 3.0
"""Warm-up at the start of a run that does not count in goodput, in seconds."""

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
    """Result of one run.

    Parameters
    ----------
    report : RunReport
        Report on the requests that count, with the token totals of the whole run.
    records : list of CallerRecord
        Records of all callers.
    usage : EngineUsage
        Engine time that the answers needed.
    window : Window
        Part of the run that counts in goodput.
    engine_tokens : list of int
        Tokens that each engine generated.
    worst_urgent : float
        Lowest first-token attainment of the urgent class in any 3 s.
    """

    report: RunReport
    records: list[CallerRecord]
    usage: EngineUsage
    window: Window
    engine_tokens: list[int]
    worst_urgent: float


class EngineFaultInjector:
    """Injects the faults of a scenario into the first engine.

    Parameters
    ----------
    engine : FleetProcess
        The engine stand-in.

    Attributes
    ----------
    lost : list of Execution
        Executions that the engine had logged when it was killed.
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
        """Inject each fault at its time."""
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
        """Set the factor by which the steps of the engine take longer."""
        await AsyncHTTPClient().fetch(
            f"{self.engine.url}/standin/faults",
            method="POST",
            body=f'{{"slow": {factor}}}',
        )

    def restart(self) -> None:
        """Restart the engine at its address."""
        self.started = subprocess.Popen(
            self.command, env=self.environment, stderr=subprocess.DEVNULL
        )

    def close(self) -> None:
        """Terminate the engine if it was restarted."""
        if self.started is not None:
            self.started.terminate()
            self.started.wait()


def _read_plan(scenario: Scenario) -> LoadPlan:
    path = EXAMPLES / scenario.example / "plans" / f"{scenario.plan}.ini"
    return read_plan(path).unwrap()


def _read_declarations(plan: LoadPlan) -> Declarations:
    path = plan.declarations_path
    revision = RevisionId(index=1, digest="")
    return read_declarations(
        path.read_text(), file=str(path), revision=revision
    ).unwrap()


async def _run_load(
    plan: LoadPlan,
    seed: int,
    urls: list[str],
    faults: EngineFaultInjector,
    scenario: Scenario,
) -> list[CallerRecord]:
    fault_task = asyncio.create_task(faults.run(scenario.faults))
    records = await run_load(
        plan,
        urls=urls,
        seed=seed,
        clock=monotonic_clock(),
        progress=lambda planned, sent, ended: None,
    )
    await fault_task
    return records


def _run_scenario(scenario: Scenario, variant: str, seed: int, logs: str) -> PolicyRun:
    plan = _read_plan(scenario)
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
        engines = [process for process in fleet if process.role == "engine"]
        services = [process.url for process in fleet if process.role == "service"]
        entries = [process.url for process in fleet if process.role == "entry"]
        faults = EngineFaultInjector(engine=engines[0])
        try:
            records = asyncio.run(_run_load(plan, seed, entries, faults, scenario))
            executions_by_engine = [
                read_executions([process.url]) for process in engines
            ]
            executions_by_engine[0] += faults.lost
            service_executions = read_executions(services)
        finally:
            faults.close()
            bring_down(directory)
    if logs:
        _write_records(Path(logs) / "records.json", records)
    return _evaluate(
        scenario, plan, seed, records, executions_by_engine, service_executions
    )


def _write_records(path: Path, records: list[CallerRecord]) -> None:
    """Write the callers' records, without inter-token latencies, beside the logs."""
    fields = [asdict(record) for record in records]
    for record in fields:
        del record["gaps"]
    path.write_text(json.dumps(fields, default=str, indent=1))


def _evaluate(
    scenario: Scenario,
    plan: LoadPlan,
    seed: int,
    records: list[CallerRecord],
    executions_by_engine: list[list[Execution]],
    service_executions: list[Execution],
) -> PolicyRun:
    declarations = _read_declarations(plan)
    duration = plan.settings.duration
    window = Window(start_s=WARM_UP_S, end_s=duration.total_seconds())
    counted_records = [
        one for one in records if one.offset.total_seconds() >= scenario.counted_from_s
    ]
    engine_executions = [
        one for executions in executions_by_engine for one in executions
    ]
    report = make_report(
        counted_records,
        service_executions,
        declarations,
        plan=scenario.plan,
        seed=seed,
        duration=duration,
    )
    full_report = make_report(
        records,
        engine_executions,
        declarations,
        plan=scenario.plan,
        seed=seed,
        duration=duration,
    )
    report.wasted_tokens = full_report.wasted_tokens
    report.generated_tokens = full_report.generated_tokens
    report.all_whole = full_report.all_whole
    requests = generate_requests(plan, seed=seed)
    return PolicyRun(
        report=report,
        records=records,
        usage=compute_engine_usage(
            requests,
            records,
            declarations,
            replay_prefills(requests, executions_by_engine),
            window=window,
            width=ENGINE_WIDTH,
        ),
        window=window,
        engine_tokens=[
            sum(one.tokens for one in each) for each in executions_by_engine
        ],
        worst_urgent=_worst_urgent_attainment(
            records, declarations, scenario, duration
        ),
    )


def _worst_urgent_attainment(records, declarations, scenario, duration) -> float:
    """Return the lowest first-token attainment of the urgent class in any 3 s span."""
    declared_class = declarations.classes[scenario.urgent]
    spans: dict[int, list[bool]] = {}
    for record in records:
        if record.class_name != scenario.urgent or record.fate == "vanished":
            continue
        is_met = (
            record.fate == "whole" and record.first_token <= declared_class.first_token
        )
        spans.setdefault(int(record.offset.total_seconds() // 3), []).append(is_met)
    return min((sum(span) / len(span) for span in spans.values()), default=1.0)


def _make_row(scenario_name: str, variant: str, seed: int, run: PolicyRun) -> list:
    scenario, report = SCENARIOS[scenario_name], run.report
    classes = {class_report.class_name: class_report for class_report in report.classes}
    urgent = classes[scenario.urgent]
    other_attainments = ", ".join(
        f"{name} {class_report.finish_attained:.0%}"
        for name, class_report in classes.items()
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
        other_attainments,
        run.usage.tokens / seconds,
        f"{run.usage.seconds / (ENGINES * seconds):.1%}",
        f"{run.usage.late_seconds / (ENGINES * seconds):.1%}",
        f"{wasted:.2%}",
        max(run.engine_tokens) / max(1.0, mean),
        f"{run.worst_urgent:.0%}",
        os.getloadavg()[0],
    ]


def _split_names(text) -> list[str]:
    if isinstance(text, (tuple, list)):
        return [str(name) for name in text]
    return [name.strip() for name in str(text).split(",") if name.strip()]


def measure_policy(
    plans: str = "",
    seeds: str = "1",
    decisions: str = "policy,first come",
    logs: str = "",
    keep: bool = False,
    name: str = "policy",
) -> None:
    """Compare variants of scheduling and routing under load and faults.

    Parameters
    ----------
    plans : str
        Scenarios, separated by commas; all if empty.
    seeds : str
        Seeds, separated by commas.
    decisions : str
        Names in `zinniaramp.experiments.scenarios.VARIANTS`, separated by commas.
    logs : str
        Directory for the logs and the callers' records of the last run; a temporary
        directory if empty.
    keep : bool
        Whether to keep the rows of the latest table that are not measured again.
    name : str
        Name of the files of the table.
    """
    rows = read_rows(name) if keep else []
    for scenario_name in _split_names(plans) or list(SCENARIOS):
        for seed in map(int, _split_names(seeds)):
            for variant in _split_names(decisions):
                run = _run_scenario(SCENARIOS[scenario_name], variant, seed, logs)
                rows = [
                    row for row in rows if row[:3] != [scenario_name, variant, seed]
                ]
                rows.append(_make_row(scenario_name, variant, seed, run))
                print(*rows[-1], sep=" | ", flush=True)
                if not run.report.all_whole:
                    print("an answer is incomplete or missing", flush=True)
    table = Table(
        name=name,
        command=f"scripts/measure.sh policy --plans {','.join(_split_names(plans))} "
        f"--seeds {','.join(_split_names(seeds))} "
        f"--decisions '{','.join(_split_names(decisions))}'{' --keep' if keep else ''}",
        headings=HEADINGS,
        rows=rows,
        notes=[
            "The engines' limit is the time of three engines. The share of it is the "
            "time that tokens and prompts of good answers need by the speed model in "
            f"full batches, from {WARM_UP_S:g} s until the end of sending.",
            "Good answers are complete and met their first-token and finish targets. "
            "The declarations of the plans scale these down for long classes.",
            "A refused request counts as missing all its targets.",
        ],
    )
    write_table(table)
