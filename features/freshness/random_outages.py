"""Random loads with outages of the store; `python -m` plays a range of seeds."""

import sys
from random import Random

from loguru import logger

from features.freshness.play import Load, Outage, play

KINDS = ("silent", "silent", "refusing", "slow")
MIN_SPACING_SECONDS = 0.03
"""Shortest time between two changes."""

CHANGE_SECONDS, STABLE_SECONDS = 2.0, 3.0
"""Time within which a change has to be known, and after the end of all outages."""


def draw_load(seed, latency):
    """Return a random load, and the end of its outages.

    Parameters
    ----------
    seed : int
        Seed of the load.
    latency : float
        Time that packets take each way, in seconds.
    """
    random = Random(seed)
    gateways = random.choice([1, 3, 5, 5])
    peers = gateways - 1 if random.random() < 0.8 else 0
    outages, changes, end = [], [], 8.0
    for _ in range(random.randint(1, 3)):
        start = end + random.uniform(0, 2)
        end = start + random.choice([random.uniform(0.05, 1.2), random.uniform(0.3, 7)])
        kind = random.choice(KINDS)
        affected = None
        if random.random() >= 0.7:
            affected = frozenset(random.sample(range(gateways), max(1, gateways // 3)))
        outages.append(Outage(start=start, end=end, kind=kind, gateways=affected))
        if random.random() < 0.7:
            changes.append(start - random.uniform(0, 0.4))
    changes += [end + random.uniform(0.02, 6) for _ in range(4)]
    changes.sort()
    spaced = [
        at
        for number, at in enumerate(changes)
        if number == 0 or at - changes[number - 1] > MIN_SPACING_SECONDS
    ]
    load = Load(
        gateways=gateways,
        peers=peers,
        outages=tuple(outages),
        changes=tuple(spaced),
        seconds=end + 12,
        seed=random.randrange(10**6),
        store_latency=2 * latency,
        peer_latency=latency,
    )
    return load, end


def find_excess(seed, latency):
    """Return by how much the latest change of a load is after its bound, in seconds."""
    load, end = draw_load(seed, latency)
    report = play(load)
    return max(
        at + max(delays) - max(at + CHANGE_SECONDS, end + STABLE_SECONDS)
        for at, delays in report.delays.items()
    )


def main():
    """Print the excess of each seed of a range, the largest first."""
    logger.remove()
    first, count, milliseconds = map(int, sys.argv[1:])
    seeds = range(first, first + count)
    excesses = [(find_excess(seed, milliseconds / 1000), seed) for seed in seeds]
    for excess, seed in sorted(excesses, reverse=True):
        print(f"seed {seed}: {excess:+.3f} s")


if __name__ == "__main__":
    main()
