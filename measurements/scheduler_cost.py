"""Measure the processor time of scheduling decisions and the memory of their tables.

Run with ``python measurements/scheduler_cost.py``.
"""

import random
import time
import tracemalloc
from datetime import UTC, datetime, timedelta

from zinniaramp.clock import Clock
from zinniaramp.contracts import RevisionId
from zinniaramp.declarations import Declarations, read_declarations
from zinniaramp.scheduling import Job, Scheduler
from zinniaramp.scheduling.estimates import LengthEstimates
from zinniaramp.tickets import TicketTable

SEED = 1
CLASSES = 8
WORKSPACES = 580
WIDTH = 16
DEPTHS = [10, 100, 1000, 5000]
ROUNDS = 1000
TICKETS = 50_000
START = datetime(2026, 1, 1, tzinfo=UTC)


def make_declarations() -> Declarations:
    """Return declarations of eight classes, one per tier, with a day as queue limit."""
    sections = ["[defaults]\nqueue_limit = 86400"]
    sections += [
        f"[class c{tier}]\ntier = {tier}\nfinish = 86400"
        for tier in range(1, CLASSES + 1)
    ]
    revision = RevisionId(index=1, digest="")
    return read_declarations(
        "\n".join(sections), file="cost", revision=revision
    ).unwrap()


def make_clock() -> Clock:
    """Return a clock that advances by one millisecond with each call."""
    milliseconds = iter(range(10**12))
    return lambda: START + timedelta(milliseconds=next(milliseconds))


def make_job(number: int, random_source: random.Random, clock: Clock) -> Job:
    """Return a job with a random class and a random workspace."""
    now = clock()
    return Job(
        attempt_id=f"{number:024x}.0.host",
        class_name=f"c{random_source.randint(1, CLASSES)}",
        workspace=f"w{random_source.randrange(WORKSPACES)}",
        arrived=now,
        deadline=now + timedelta(days=1),
    )


def measure_depth(depth: int) -> tuple[float, float, float]:
    """Return microseconds per offer and removal, per next actions and per token."""
    random_source, clock = random.Random(SEED), make_clock()
    scheduler = Scheduler(
        width=WIDTH, declarations=make_declarations(), clock=clock, max_queued=10**6
    )
    for number in range(depth + WIDTH):
        scheduler.offer(make_job(number, random_source, clock))
    scheduler.next_actions()
    offer_s = actions_s = token_s = 0.0
    for number in range(depth + WIDTH, depth + WIDTH + ROUNDS):
        job = make_job(number, random_source, clock)
        job_id = next(iter(scheduler.running))
        started = time.perf_counter()
        scheduler.record_tokens(job_id, 1)
        recorded = time.perf_counter()
        scheduler.remove(job_id)
        scheduler.offer(job)
        offered = time.perf_counter()
        scheduler.next_actions()
        ended = time.perf_counter()
        token_s += recorded - started
        offer_s += offered - recorded
        actions_s += ended - offered
    return tuple(1e6 * total / ROUNDS for total in (offer_s, actions_s, token_s))


def measure_bytes(make) -> int:
    """Return the memory in bytes that is allocated for a newly made object."""
    tracemalloc.start()
    result = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def make_ticket_table() -> TicketTable:
    """Return a full ticket table with every ticket claimed."""
    table = TicketTable(
        incarnation="host/1",
        capacity=TICKETS,
        lifetime=timedelta(seconds=600),
        clock=lambda: START,
    )
    for number in range(TICKETS):
        ticket = table.issue(class_name="c1", workspace="w1").unwrap()
        table.claim(ticket, f"{number:024x}.0.host").unwrap()
    return table


def make_length_estimates() -> LengthEstimates:
    """Return length estimates with a sketch for each class and workspace."""
    lengths = LengthEstimates()
    for tier in range(CLASSES):
        for number in range(WORKSPACES):
            lengths.add(f"c{tier}", f"w{number}", 100)
    return lengths


def main() -> None:
    """Print the time by queue depth and the memory of the tables."""
    print("queued  remove+offer us  next_actions us  record_tokens us")
    for depth in DEPTHS:
        offer_us, actions_us, token_us = measure_depth(depth)
        print(f"{depth:6}  {offer_us:15.1f}  {actions_us:15.1f}  {token_us:14.1f}")
    size = measure_bytes(make_ticket_table)
    print(f"{TICKETS} tickets: {size / 2**20:.1f} MiB, {size / TICKETS:.0f} B each")
    size = measure_bytes(make_length_estimates)
    print(f"{CLASSES * WORKSPACES} length sketches: {size / 2**20:.1f} MiB")


if __name__ == "__main__":
    main()
