"""Case 11: a gateway keeps a server whose removal its peer never had; see claim.txt."""

import asyncio
import sys
from pathlib import Path
from random import uniform

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins3.client import send  # noqa: E402
from standins3.gateway import Gateway  # noqa: E402
from standins3.server import Server  # noqa: E402
from standins3.store import Door, Store  # noqa: E402
from standins3.trial import (  # noqa: E402
    FAILED,
    HELD,
    HOST,
    KEY,
    Trial,
    configuration,
    plain_service,
    route,
    run,
)

DRAIN_S = 2.0
STABLE_S = 3.0

SILENT_BEFORE_S = (0.5, 2.5)
"""For so long the store doesn't answer one machine before the other is stopped."""

SILENT_AFTER_S = 1.5
"""For so long it doesn't once that is ready again: 6 to 8 s in all, of at most 9 s."""

IN_TOUCH_S = 1.6
"""For so long a server serves while all machines are in touch."""

RESTART_S = 0.4
"""Delay of the platform until a process that has ended is started again."""

ROUNDS = 8

LAST_START_S = 88.0
"""Time after which no other round is begun, on a slow machine."""

SERVERS = 3
"""Servers of the service, as on the site; one joins before another leaves."""

INTERVAL_S = 0.2
"""Half of the 9.66 plain requests a second of the site, at one of two gateways."""


class Play:
    """The deployment: one store, two gateways, and the servers of one service."""

    def __init__(self, trial: Trial):
        self.trial = trial
        self.loop = asyncio.get_running_loop()
        self.store = Store()
        self.doors = [Door(self.store), Door(self.store)]
        count = SERVERS + ROUNDS
        self.servers = [Server(f"i-{n}", trial.record) for n in range(count)]
        self.sent: dict[str, float] = {}
        self.lost: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.is_over = False

    async def start(self) -> None:
        """Start everything, and wait until both gateways are ready."""
        for one in (*self.doors, *self.servers):
            await one.listen()
        routes = [route("book", "unsafe", "ledger")]
        document = configuration(7, routes, [plain_service("ledger")])
        self.store.put("op/config", document)
        for server in self.servers[:SERVERS]:
            self.list_server(server)
        self.cut, self.rolled = (
            Gateway(f"edge-{n}", self.trial.path, store=door.port)
            for n, door in enumerate(self.doors)
        )
        both = [self.cut, self.rolled]
        self.trial.gateways += both
        for one in both:
            one.seeds = [self.cut.peers, self.rolled.peers]
            await one.start()
        for one in both:
            await one.wait_ready()
        self.trial.say("both gateways are ready")

    def list_server(self, server: Server) -> None:
        """Write the entry of a server."""
        self.store.put(f"servers/{server.id}", server.entry("ledger"))

    async def book(self, number: int) -> None:
        """Send one request that isn't idempotent to the gateway that is cut."""
        id = f"book-{number:04d}"
        self.sent[id] = self.loop.time()
        self.trial.record(f"client sends {id} to {self.cut.name}")
        answer = await send(
            self.cut.callers,
            method="POST",
            path="/book/x",
            host=HOST,
            id=id,
            key=KEY,
            body=b"entry",
        )
        self.trial.record(f"client gets {answer.status} {answer.problem} for {id}")
        if answer.status in (0, 502, 504):
            self.lost.append(id)

    async def load(self) -> None:
        """Send requests until the play is over."""
        number = 0
        while not self.is_over:
            number += 1
            task = asyncio.create_task(self.book(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(INTERVAL_S)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def play_round(self, leaver: Server) -> int:
        """Play one outage and one leaving; return how many requests came too late."""
        say, loop, door = self.trial.say, self.loop, self.doors[0]
        if self.trial.has_trouble:
            door.is_silent = True
            say(f"the store gives {self.cut.name} no response")
        await asyncio.sleep(uniform(*SILENT_BEFORE_S))
        say(f"SIGTERM to {self.rolled.name}, which is started again (planned)")
        await self.rolled.end()
        self.store.remove(f"servers/{leaver.id}")
        gone_at = loop.time()
        say(f"{leaver.id} leaves: its entry is removed, and it serves on")
        await asyncio.sleep(RESTART_S)
        await self.rolled.start()
        await self.rolled.wait_ready()
        say(f"{self.rolled.name} is ready again")
        await asyncio.sleep(SILENT_AFTER_S)
        door.is_silent = False
        healed_at = loop.time()
        say(f"the store answers {self.cut.name}")
        await asyncio.sleep(STABLE_S + IN_TOUCH_S)
        lost_before = len(self.lost)
        leaver.exit()
        say(f"{leaver.id} ends, {loop.time() - gone_at:.1f} s after it was gone")
        await asyncio.sleep(0.5)
        lost = self.lost[lost_before:]
        from_s = max(healed_at + STABLE_S, gone_at + DRAIN_S)
        late = [(id, at) for id, at in leaver.runs if self.sent[id] > from_s]
        for id, at in late[:3]:
            say(
                f"{id} reached {leaver.id} {at - gone_at:.2f} s after it was gone; it "
                f"was sent {self.sent[id] - healed_at:.2f} s after the outage"
            )
        say(
            f"{len(late)} requests came to {leaver.id} too late; at its end lost {lost}"
        )
        return len(late)

    async def play(self) -> int:
        """Play all rounds; return how many of them had requests that came too late."""
        latest_at = self.loop.time() + LAST_START_S
        await self.start()
        loading = asyncio.create_task(self.load())
        await asyncio.sleep(3)
        broken = 0
        for number, leaver in enumerate(self.servers[:ROUNDS]):
            if self.loop.time() > latest_at:
                self.trial.say("no time for another round")
                break
            self.list_server(self.servers[SERVERS + number])
            await asyncio.sleep(1)
            broken += bool(await self.play_round(leaver))
        self.is_over = True
        await loading
        return broken


async def play(trial: Trial) -> int:
    """Play the case and return the exit code."""
    broken = await Play(trial).play()
    trial.say(f"requests came too late in {broken} of {ROUNDS} rounds")
    return FAILED if broken else HELD


run(HERE, play)
