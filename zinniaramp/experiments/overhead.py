"""First-token time that entry and endpoint add to the engine's own."""

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
from .probes import ProbeAnswer, probe
from .tables import Table, write_table

__all__ = ["measure_overhead"]

RATE = 50
"""Requests a second through the entry, and as many straight to the engines."""

TOKENS = 5
"""Tokens of each answer."""

TARGET_MS = 5
"""Added first-token time that 99 in 100 stay under, in milliseconds."""


@dataclass(slots=True, kw_only=True)
class Sides:
    """Probes of one run, by the way they took."""

    direct: list[ProbeAnswer]
    routed: list[ProbeAnswer]


async def _arrivals(
    client: CurlAsyncHTTPClient, urls: list[str], random: Random, seconds: float
) -> list[ProbeAnswer]:
    """Send probes at Poisson times, each to one of the URLs by chance."""
    clock = monotonic_clock()
    tasks = []
    for number in range(int(RATE * seconds)):
        await asyncio.sleep(random.expovariate(RATE))
        url = random.choice(urls)
        name = f"{number} {random.random()}"
        tasks.append(
            asyncio.create_task(
                probe(client, url, name=name, tokens=TOKENS, clock=clock)
            )
        )
    return list(await asyncio.gather(*tasks))


async def _run(engines: list[str], entry: str, seed: int, seconds: float) -> Sides:
    """Send both ways at once, as independent arrivals that meet the same engines."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
    direct, routed = await asyncio.gather(
        _arrivals(client, engines, Random(f"{seed}/direct"), seconds),
        _arrivals(client, [entry], Random(f"{seed}/routed"), seconds),
    )
    client.close()
    return Sides(direct=direct, routed=routed)


def _percentile_ms(values_s: list[float], percentile: float) -> float:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in values_s:
        histogram.record_value(max(1, round(value * 1e6)))
    return histogram.get_value_at_percentile(percentile) / 1e3


def _row(name: str, values_s: list[float]) -> list:
    return [
        name,
        len(values_s),
        *(_percentile_ms(values_s, p) for p in (50, 95, 99)),
    ]


def measure_overhead(seed: int = 1, seconds: float = 20) -> None:
    """Measure added first-token time at 50 requests a second through one entry.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    seconds : float
        Length of the run.
    """
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        fleet = bring_up(directory, entries=1, endpoints=4)
        try:
            engines = [one.url for one in fleet if one.role == "engine"]
            entry = next(one.url for one in fleet if one.role == "entry")
            sides = asyncio.run(_run(engines, entry, seed, seconds))
        finally:
            bring_down(directory)
    direct = [one.first_token_s for one in sides.direct]
    routed = [one.first_token_s for one in sides.routed]
    median = statistics.median(direct)
    added = [max(0.0, value - median) for value in routed]
    gap_ms = _percentile_ms(routed, 99) - _percentile_ms(direct, 99)
    table = Table(
        name="overhead",
        command=f"scripts/measure.sh overhead --seed {seed} --seconds {seconds}",
        headings=["way", "requests", "p50 ms", "p95 ms", "p99 ms"],
        rows=[
            _row("straight to the engine", direct),
            _row("through entry and endpoint", routed),
            _row("routed less the direct median", added),
        ],
        notes=[
            f"p99 through the system less p99 direct: {gap_ms:.2f} ms; "
            f"the target is under {TARGET_MS} ms.",
            "Both ways ran side by side in one run as independent Poisson arrivals "
            "of 50 requests/s, so that both meet the engines in the same states; "
            "the client's own processor time is in both.",
        ],
    )
    write_table(table)
