"""Tokens a second that one entry process passes on, and its memory."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression

from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import monotonic_clock
from ..standins.engine import step_seconds
from ..standins.fleet import FleetOptions, FleetProcess, bring_down, bring_up
from .probes import ProbeAnswer, ProcessReading, probe, read_process
from .tables import Table, write_table

__all__ = ["measure_passing"]

ENDPOINTS = 4
"""Endpoints behind the entry."""

STREAM_COUNTS = (8, 32, 64, 146)
"""Answers in flight that are measured; the last is the target size's."""

ENGINE_WIDTH = 40
"""Batch width of the engines, wide enough that no answer waits."""

TOKEN_SECONDS = 0.048
"""Time between two tokens of one answer, in seconds."""

CORE_SHARE = 0.6
"""Share of a core that passing tokens may take."""

TARGET_TOKENS_PER_S = 3030
"""Tokens a second that one entry passes at the target size."""


@dataclass(slots=True, kw_only=True)
class PassingRun:
    """What one number of concurrent answers showed."""

    streams: int
    seconds: float
    tokens: int
    entry_before: ProcessReading
    entry_after: ProcessReading
    endpoint_before: ProcessReading
    endpoint_after: ProcessReading
    answers: list[ProbeAnswer]


async def _run(
    entry: FleetProcess, endpoint: FleetProcess, streams: int, tokens: int
) -> PassingRun:
    clock = monotonic_clock()
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=streams)
    entry_before, endpoint_before = read_process(entry.pid), read_process(endpoint.pid)
    started = clock()
    answers = await asyncio.gather(
        *(
            probe(client, entry.url, name=f"{streams}-{i}", tokens=tokens, clock=clock)
            for i in range(streams)
        )
    )
    seconds = (clock() - started).total_seconds()
    client.close()
    return PassingRun(
        streams=streams,
        seconds=seconds,
        tokens=sum(one.tokens for one in answers),
        entry_before=entry_before,
        entry_after=read_process(entry.pid),
        endpoint_before=endpoint_before,
        endpoint_after=read_process(endpoint.pid),
        answers=list(answers),
    )


def _row(run: PassingRun) -> list:
    entry_cpu = run.entry_after.cpu_s - run.entry_before.cpu_s
    endpoint_cpu = run.endpoint_after.cpu_s - run.endpoint_before.cpu_s
    gaps = sorted(gap for one in run.answers for gap in one.gaps_s)
    return [
        run.streams,
        run.tokens,
        run.tokens / run.seconds,
        entry_cpu / run.seconds,
        entry_cpu / run.tokens * 1e6,
        run.tokens / entry_cpu * CORE_SHARE,
        endpoint_cpu / (run.tokens / ENDPOINTS) * 1e6,
        gaps[int(len(gaps) * 0.95)] * 1e3,
        run.entry_after.memory_mb,
        run.endpoint_after.memory_mb,
    ]


def _fleet_options() -> FleetOptions:
    """Return engines that give each of many answers a token every 48 ms or so."""
    batch = max(STREAM_COUNTS) // ENDPOINTS
    slow = TOKEN_SECONDS / step_seconds(batch)
    return FleetOptions(width=ENGINE_WIDTH, slow=(slow,))


def _notes(rows: list[list], idle: list[ProcessReading]) -> list[str]:
    rates = [row[2] for row in rows]
    entry = linear_regression(rates, [row[3] * 100 for row in rows])
    memory = linear_regression([row[0] for row in rows], [row[8] for row in rows])
    at_target = entry.slope * TARGET_TOKENS_PER_S + entry.intercept
    return [
        f"Idle: entry {idle[0].memory_mb:.0f} MB, endpoint {idle[1].memory_mb:.0f} MB.",
        f"Entry: {entry.slope * 1000:.2f}% of a core for each 1000 tokens/s and "
        f"{entry.intercept:.2f}% besides; {at_target:.0f}% at the "
        f"{TARGET_TOKENS_PER_S} tokens/s that the target size asks of one entry.",
        f"Entry: {memory.slope * 1000:.0f} KB for each answer in flight.",
    ]


def measure_passing(tokens: int = 150) -> None:
    """Measure what passing tokens costs, for several numbers of answers at a time.

    Parameters
    ----------
    tokens : int
        Length of each answer.
    """
    rows = []
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        options = _fleet_options()
        fleet = bring_up(directory, entries=1, endpoints=ENDPOINTS, options=options)
        try:
            entry = next(one for one in fleet if one.role == "entry")
            endpoint = next(one for one in fleet if one.role == "endpoint")
            idle = [read_process(entry.pid), read_process(endpoint.pid)]
            for streams in STREAM_COUNTS:
                run = asyncio.run(_run(entry, endpoint, streams, tokens))
                rows.append(_row(run))
        finally:
            bring_down(directory)
    table = Table(
        name="passing",
        command=f"scripts/measure.sh passing --tokens {tokens}",
        headings=[
            "answers at a time",
            "tokens",
            "tokens/s",
            "entry cores",
            "entry us/token",
            f"tokens/s at {CORE_SHARE:.0%} of a core",
            "endpoint us/token",
            "gap p95 ms",
            "entry MB",
            "endpoint MB",
        ],
        rows=rows,
        notes=_notes(rows, idle),
    )
    write_table(table)
