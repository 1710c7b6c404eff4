"""Runs a plan against entry processes, open loop."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import Clock
from .arrivals import PlannedRequest, generate_requests
from .callers import Caller
from .plan import LoadPlan
from .records import CallerRecord

__all__ = ["Progress", "run_load"]

MAX_CONNECTIONS = 1500
"""Requests that may be open at a time; above it a caller waits, and its wait
counts in its latency."""

PROGRESS_INTERVAL = timedelta(seconds=2)
"""Time between two calls of the progress function."""

Progress = Callable[[int, int, int], None]
"""Called with the numbers of requests planned, sent and ended."""


async def run_load(
    plan: LoadPlan, *, urls: list[str], seed: int, clock: Clock, progress: Progress
) -> list[CallerRecord]:
    """Send a plan's requests at their times, whatever becomes of earlier ones.

    Parameters
    ----------
    plan : LoadPlan
        The plan.
    urls : list of str
        Entry processes, used in turn.
    seed : int
        The same seed sends the same requests at the same times.
    clock : Clock
        Clock of the run.
    progress : callable
        Told how far the run is.

    Returns
    -------
    list of CallerRecord
        One for each planned request, in the order of their times.

    Notes
    -----
    Latency counts from the planned time, so a late start of a request is part of
    it and nothing is omitted when the system under load is slow.
    """
    requests = generate_requests(plan, seed=seed)
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
    started = clock()
    tasks: list[asyncio.Task] = []
    reporter = asyncio.create_task(_report(requests, tasks, progress))
    for number, planned in enumerate(requests):
        await _wait_until(started + planned.offset, clock)
        caller = Caller(
            planned=planned,
            client=client,
            url=urls[number % len(urls)],
            started=started,
            limit=_limit(plan, planned),
            clock=clock,
        )
        tasks.append(asyncio.create_task(caller.run()))
    records = await asyncio.gather(*tasks)
    reporter.cancel()
    client.close()
    return records


def _limit(plan: LoadPlan, planned: PlannedRequest) -> timedelta:
    return plan.settings.duration - planned.offset + plan.settings.grace


async def _wait_until(moment: datetime, clock: Clock) -> None:
    remaining = (moment - clock()).total_seconds()
    if remaining > 0:
        await asyncio.sleep(remaining)


async def _report(requests, tasks, progress: Progress) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL.total_seconds())
        ended = sum(task.done() for task in tasks)
        progress(len(requests), len(tasks), ended)
