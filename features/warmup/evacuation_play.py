"""Simulation of an evacuation that only one gateway reads from the store."""

import asyncio

from features.freshness.play import (
    FIRST_REVISION,
    Load,
    Report,
    SimulatedGateway,
    SimulatedStore,
    connect,
)
from features.support.virtual_time import VirtualTimeLoop
from zinniaramp.platform.documents import decode_item
from zinniaramp.registry import Item, Snapshot, Source, StoreRevision

KEYS = ("op/evacuate/b", "op/evacuate/c", "op/evacuate/b")
VALUES = (b"{}", b"{}", None)
EXPECTED = ({"b"}, {"b", "c"}, {"c"})
"""Evacuated data centres after each change."""

CHANGES = (12.0, 25.0, 38.0)
MEASURED_SECONDS = 12.0
"""Longest time that is measured; it is shorter than that between two changes."""


class EvacuationStore(SimulatedStore):
    """A store whose changes are evacuations."""

    def _snapshot(self, after, *, is_complete):
        changes = range(after + 1, self.number + 1)
        items = [
            Item(
                key=KEYS[number - FIRST_REVISION - 1],
                revision=number,
                value=VALUES[number - FIRST_REVISION - 1],
            )
            for number in changes
        ]
        latest = {item.key: item for item in items}
        revision = StoreRevision(era=0, number=self.number)
        kept = tuple(
            item
            for item in latest.values()
            if item.value is not None or not is_complete
        )
        return Snapshot(revision=revision, items=kept, is_complete=is_complete)


def _cut_off():
    """Return the calls of a gateway that can't reach the store."""

    async def refuse(*_):
        await asyncio.Event().wait()

    return Source(
        read_all=refuse, watch=refuse, read_revision=refuse, read_history=refuse
    )


def play(*, gateways, peers, seed):
    """Return how long each gateway took to know each change, by change."""
    loop = VirtualTimeLoop()
    load = Load(gateways=gateways, peers=peers, seed=seed)
    try:
        return loop.run_until_complete(_play(load, loop))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


async def _play(load, loop):
    store = EvacuationStore(load, loop, Report())
    gateways = [
        SimulatedGateway(number=number, store=store, loop=loop, load=load)
        for number in range(load.gateways)
    ]
    work = []
    connected = {str(gateway.mesh.own_address): None for gateway in gateways}
    for number, gateway in enumerate(gateways):
        gateway.registry.decode = decode_item
        if number:
            gateway.follower.source = _cut_off()
        gateway.mesh.connect_tasks.update(connected)
        work += [gateway.follower.run(), gateway.checker.run()]
        for step in range(1, load.peers + 1):
            far = gateways[(number + step) % load.gateways]
            work += connect(loop, load.peer_latency, gateway, far)
            work += connect(loop, load.peer_latency, far, gateway)
    tasks = [asyncio.create_task(one) for one in work]
    delays = []
    for at, expected in zip(CHANGES, EXPECTED, strict=True):
        await asyncio.sleep(at - loop.seconds)
        store.add_change()
        delays.append(await _measure(loop, gateways, expected))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return delays


async def _measure(loop, gateways, expected):
    """Return the time until each gateway knows what is evacuated."""
    began_at, known_at = loop.seconds, {}
    while loop.seconds < began_at + MEASURED_SECONDS:
        for number, gateway in enumerate(gateways):
            if gateway.registry.evacuations.data_centers == expected:
                known_at.setdefault(number, loop.seconds - began_at)
        await asyncio.sleep(0.01)
    return [known_at.get(number, float("inf")) for number in range(len(gateways))]
