"""Runs a plan against entry processes as open-loop load."""

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
"""Largest number of concurrent requests.  Further callers wait for a connection, and
the wait counts as latency."""

PROGRESS_INTERVAL = timedelta(seconds=2)
"""Interval between calls of the progress function."""

Progress = Callable[[int, int, int], None]
"""Called with the number of requests planned, sent and ended."""


async def run_load(
    plan: LoadPlan, *, urls: list[str], seed: int, clock: Clock, progress: Progress
) -> list[CallerRecord]:
    """Send each request of a plan at its planned time, even if others are pending.

    Parameters
    ----------
    plan : LoadPlan
        The plan.
    urls : list of str
        URLs of the entry processes, used in turn.
    seed : int
        Seed of the requests and their planned send times.
    clock : Clock
        Clock of the run.
    progress : callable
        Called every `PROGRESS_INTERVAL` with the progress of the run.

    Returns
    -------
    list of CallerRecord
        One for each planned request, in order of planned send times.

    Notes
    -----
    Latency is measured from the planned send time.  A request that is sent late thus
    has a higher latency, which avoids coordinated omission when the system is slow.
    """
    requests = generate_requests(plan, seed=seed)
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)
    started = clock()
    tasks: list[asyncio.Task] = []
    reporter = asyncio.create_task(_report_progress(requests, tasks, progress))
    for number, planned in enumerate(requests):
        await _wait_until(started + planned.offset, clock)
        caller = Caller(
            planned=planned,
            client=client,
            url=urls[number % len(urls)],
            started=started,
            timeout=_timeout(plan, planned),
            clock=clock,
        )
        tasks.append(asyncio.create_task(caller.run()))
    records = await asyncio.gather(*tasks)
    reporter.cancel()
    client.close()
    return records


def _timeout(plan: LoadPlan, planned: PlannedRequest) -> timedelta:
    """Return the time from the planned send time to the end of the grace period."""
    return plan.settings.duration - planned.offset + plan.settings.grace


async def _wait_until(moment: datetime, clock: Clock) -> None:
    remaining = (moment - clock()).total_seconds()
    if remaining > 0:
        await asyncio.sleep(remaining)


async def _report_progress(requests, tasks, progress: Progress) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL.total_seconds())
        ended = sum(task.done() for task in tasks)
        progress(len(requests), len(tasks), ended)
