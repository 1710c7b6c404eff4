"""Measure the cost of scheduling decisions and the memory of their tables.

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


def declare() -> Declarations:
    """Return eight classes, one in each tier, with queues without limit."""
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
    """Return a clock that moves on by a millisecond with each reading."""
    readings = iter(range(10**12))
    return lambda: START + timedelta(milliseconds=next(readings))


def make_job(number: int, chooser: random.Random, clock: Clock) -> Job:
    """Return a job of a random class and workspace."""
    now = clock()
    return Job(
        attempt_id=f"{number:024x}.0.host",
        class_name=f"c{chooser.randint(1, CLASSES)}",
        workspace=f"w{chooser.randrange(WORKSPACES)}",
        arrived=now,
        deadline=now + timedelta(days=1),
    )


def measure_depth(depth: int) -> tuple[float, float, float]:
    """Return microseconds for an offer, for the actions and for a token."""
    chooser, clock = random.Random(SEED), make_clock()
    scheduler = Scheduler(
        width=WIDTH, declarations=declare(), clock=clock, max_queued=10**6
    )
    for number in range(depth + WIDTH):
        scheduler.offer(make_job(number, chooser, clock))
    scheduler.next_actions()
    offer_s = actions_s = token_s = 0.0
    for number in range(depth + WIDTH, depth + WIDTH + ROUNDS):
        job = make_job(number, chooser, clock)
        ending = next(iter(scheduler.running))
        begun = time.perf_counter()
        scheduler.record_tokens(ending, 1)
        noted = time.perf_counter()
        scheduler.remove(ending)
        scheduler.offer(job)
        offered = time.perf_counter()
        scheduler.next_actions()
        ended = time.perf_counter()
        token_s += noted - begun
        offer_s += offered - noted
        actions_s += ended - offered
    return tuple(1e6 * total / ROUNDS for total in (offer_s, actions_s, token_s))


def traced_bytes(build) -> int:
    """Return the bytes that a built object holds."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def build_tickets() -> TicketTable:
    """Return a full table of claimed tickets."""
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


def build_lengths() -> LengthEstimates:
    """Return the sketches of all classes and workspaces."""
    lengths = LengthEstimates()
    for tier in range(CLASSES):
        for number in range(WORKSPACES):
            lengths.add(f"c{tier}", f"w{number}", 100)
    return lengths


def main() -> None:
    """Print the tables."""
    print("queued  remove+offer us  next_actions us  record_tokens us")
    for depth in DEPTHS:
        offer_us, actions_us, token_us = measure_depth(depth)
        print(f"{depth:6}  {offer_us:15.1f}  {actions_us:15.1f}  {token_us:14.1f}")
    size = traced_bytes(build_tickets)
    print(f"{TICKETS} tickets: {size / 2**20:.1f} MiB, {size / TICKETS:.0f} B each")
    size = traced_bytes(build_lengths)
    print(f"{CLASSES * WORKSPACES} length sketches: {size / 2**20:.1f} MiB")


if __name__ == "__main__":
    main()
