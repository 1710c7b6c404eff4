"""Processor time and memory with which one entry process forwards tokens."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression

from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import monotonic_clock
from ..standins.engine import step_seconds
from ..standins.fleet import FleetOptions, FleetProcess, bring_down, bring_up
from .probes import ProbeAnswer, ProcessUsage, read_process_usage, send_probe
from .tables import Table, write_table

__all__ = ["measure_passing"]

ENDPOINTS = 4
"""Number of endpoints behind the entry."""

STREAM_COUNTS = (8, 32, 64, 146)
"""Numbers of answers in flight; the last is that of the target size."""

ENGINE_WIDTH = 40
"""Batch width of the engines, large enough that no answer is queued."""

TOKEN_SECONDS = 0.048
"""Inter-token latency of an answer, in seconds."""

CORE_SHARE = 0.6
"""Share of a core that an entry process may use to forward tokens."""

TARGET_TOKENS_PER_S = 3030
"""Tokens per second that one entry forwards at the target size."""


@dataclass(slots=True, kw_only=True)
class PassingRun:
    """Measurements with a given number of answers in flight.

    Parameters
    ----------
    streams : int
        Number of answers in flight.
    seconds : float
        Time from the first request to the end of the last answer, in seconds.
    tokens : int
        Tokens of all answers.
    entry_before, entry_after : ProcessUsage
        Usage of the entry process before and after the answers.
    endpoint_before, endpoint_after : ProcessUsage
        Usage of one endpoint process before and after the answers.
    answers : list of ProbeAnswer
        The answers.
    """

    streams: int
    seconds: float
    tokens: int
    entry_before: ProcessUsage
    entry_after: ProcessUsage
    endpoint_before: ProcessUsage
    endpoint_after: ProcessUsage
    answers: list[ProbeAnswer]


async def _run_probes(
    entry: FleetProcess, endpoint: FleetProcess, streams: int, tokens: int
) -> PassingRun:
    clock = monotonic_clock()
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=streams)
    entry_before, endpoint_before = (
        read_process_usage(entry.pid),
        read_process_usage(endpoint.pid),
    )
    started = clock()
    answers = await asyncio.gather(
        *(
            send_probe(
                client, entry.url, name=f"{streams}-{i}", tokens=tokens, clock=clock
            )
            for i in range(streams)
        )
    )
    seconds = (clock() - started).total_seconds()
    client.close()
    return PassingRun(
        streams=streams,
        seconds=seconds,
        tokens=sum(answer.tokens for answer in answers),
        entry_before=entry_before,
        entry_after=read_process_usage(entry.pid),
        endpoint_before=endpoint_before,
        endpoint_after=read_process_usage(endpoint.pid),
        answers=list(answers),
    )


def _make_row(run: PassingRun) -> list:
    entry_cpu = run.entry_after.cpu_s - run.entry_before.cpu_s
    endpoint_cpu = run.endpoint_after.cpu_s - run.endpoint_before.cpu_s
    gaps = sorted(gap for answer in run.answers for gap in answer.token_intervals_s)
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
    """Return options with an inter-token latency of about 48 ms at full load."""
    batch = max(STREAM_COUNTS) // ENDPOINTS
    slow = TOKEN_SECONDS / step_seconds(batch)
    return FleetOptions(width=ENGINE_WIDTH, slow=(slow,))


def _make_notes(rows: list[list], idle: list[ProcessUsage]) -> list[str]:
    rates = [row[2] for row in rows]
    entry = linear_regression(rates, [row[3] * 100 for row in rows])
    memory = linear_regression([row[0] for row in rows], [row[8] for row in rows])
    cpu_at_target = entry.slope * TARGET_TOKENS_PER_S + entry.intercept
    return [
        f"Idle: entry {idle[0].memory_mb:.0f} MB, endpoint {idle[1].memory_mb:.0f} MB.",
        f"Entry: {entry.slope * 1000:.2f}% of a core per 1000 tokens/s plus "
        f"{entry.intercept:.2f}% fixed; {cpu_at_target:.0f}% at the "
        f"{TARGET_TOKENS_PER_S} tokens/s of one entry at the target size.",
        f"Entry: {memory.slope * 1000:.0f} KB per answer in flight.",
    ]


def measure_passing(tokens: int = 150) -> None:
    """Measure the cost of forwarding tokens for several numbers of answers in flight.

    Parameters
    ----------
    tokens : int
        Length of each answer in tokens.
    """
    rows = []
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        options = _fleet_options()
        fleet = bring_up(directory, entries=1, endpoints=ENDPOINTS, options=options)
        try:
            entry = next(process for process in fleet if process.role == "entry")
            endpoint = next(process for process in fleet if process.role == "endpoint")
            idle = [read_process_usage(entry.pid), read_process_usage(endpoint.pid)]
            for streams in STREAM_COUNTS:
                run = asyncio.run(_run_probes(entry, endpoint, streams, tokens))
                rows.append(_make_row(run))
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
        notes=_make_notes(rows, idle),
    )
    write_table(table)
