"""Time to first token that an entry and an endpoint add to that of the engine."""

import asyncio
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import monotonic_clock
from ..standins.fleet import bring_down, bring_up
from .probes import ProbeAnswer, send_probe
from .tables import Table, write_table

__all__ = ["measure_overhead"]

RATE = 50
"""Requests per second through the entry, and as many directly to the engines."""

TOKENS = 5
"""Length of each answer in tokens."""

TARGET_MS = 5
"""Limit for the 99th percentile of the added time to first token, in milliseconds."""


@dataclass(slots=True, kw_only=True)
class ProbeResults:
    """Probes of one run.

    Parameters
    ----------
    direct : list of ProbeAnswer
        Probes sent directly to the engines.
    routed : list of ProbeAnswer
        Probes sent through the entry process.
    """

    direct: list[ProbeAnswer]
    routed: list[ProbeAnswer]


async def _send_probes(
    client: CurlAsyncHTTPClient, urls: list[str], random: Random, seconds: float
) -> list[ProbeAnswer]:
    """Send probes as Poisson arrivals, each to a random URL of the list."""
    clock = monotonic_clock()
    tasks = []
    for number in range(int(RATE * seconds)):
        await asyncio.sleep(random.expovariate(RATE))
        url = random.choice(urls)
        name = f"{number} {random.random()}"
        tasks.append(
            asyncio.create_task(
                send_probe(client, url, name=name, tokens=TOKENS, clock=clock)
            )
        )
    return list(await asyncio.gather(*tasks))


async def _run_probes(
    engines: list[str], entry: str, seed: int, seconds: float
) -> ProbeResults:
    """Send direct and routed probes concurrently to the same engines."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
    direct, routed = await asyncio.gather(
        _send_probes(client, engines, Random(f"{seed}/direct"), seconds),
        _send_probes(client, [entry], Random(f"{seed}/routed"), seconds),
    )
    client.close()
    return ProbeResults(direct=direct, routed=routed)


def _percentile_ms(values_s: list[float], percentile: float) -> float:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in values_s:
        histogram.record_value(max(1, round(value * 1e6)))
    return histogram.get_value_at_percentile(percentile) / 1e3


def _make_row(name: str, values_s: list[float]) -> list:
    return [
        name,
        len(values_s),
        *(_percentile_ms(values_s, p) for p in (50, 95, 99)),
    ]


def measure_overhead(seed: int = 1, seconds: float = 20) -> None:
    """Measure the added time to first token at 50 requests/s through one entry.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    seconds : float
        Length of the run in seconds.
    """
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        fleet = bring_up(directory, entries=1, endpoints=4)
        try:
            engines = [one.url for one in fleet if one.role == "engine"]
            entry = next(one.url for one in fleet if one.role == "entry")
            results = asyncio.run(_run_probes(engines, entry, seed, seconds))
        finally:
            bring_down(directory)
    direct = [one.first_token_s for one in results.direct]
    routed = [one.first_token_s for one in results.routed]
    median = statistics.median(direct)
    added = [max(0.0, value - median) for value in routed]
    gap_ms = _percentile_ms(routed, 99) - _percentile_ms(direct, 99)
    table = Table(
        name="overhead",
        command=f"scripts/measure.sh overhead --seed {seed} --seconds {seconds}",
        headings=["way", "requests", "p50 ms", "p95 ms", "p99 ms"],
        rows=[
            _make_row("straight to the engine", direct),
            _make_row("through entry and endpoint", routed),
            _make_row("routed less the direct median", added),
        ],
        notes=[
            f"p99 through the system minus p99 direct: {gap_ms:.2f} ms; "
            f"the target is under {TARGET_MS} ms.",
            "Direct and routed probes ran concurrently as independent Poisson arrivals "
            "of 50 requests/s, so both see the engines under the same load; "
            "both include the processor time of the client.",
        ],
    )
    write_table(table)
