"""Tokens a second that one entry process passes on, and its memory."""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import monotonic_clock
from ..standins.fleet import FleetProcess, bring_down, bring_up
from .probes import ProbeAnswer, ProcessReading, probe, read_process
from .tables import Table, write_table

__all__ = ["measure_passing"]

ENDPOINTS = 4
"""Endpoints behind the entry."""

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


def measure_passing(tokens: int = 200) -> None:
    """Measure what passing tokens costs, for several numbers of answers at a time.

    Parameters
    ----------
    tokens : int
        Length of each answer.
    """
    rows = []
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        fleet = bring_up(directory, entries=1, endpoints=ENDPOINTS)
        try:
            entry = next(one for one in fleet if one.role == "entry")
            endpoint = next(one for one in fleet if one.role == "endpoint")
            idle = [read_process(entry.pid), read_process(endpoint.pid)]
            for streams in (4, 8, 16, 32):
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
        notes=[
            f"Idle: entry {idle[0].memory_mb:.0f} MB, "
            f"endpoint {idle[1].memory_mb:.0f} MB.",
            f"The target size asks one entry for {TARGET_TOKENS_PER_S} tokens/s.",
        ],
    )
    write_table(table)
