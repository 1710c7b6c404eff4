"""Test rig: gateway daemons and stand-ins of the platform in one event loop."""

import asyncio
import json
import signal
from dataclasses import dataclass, field, replace
from datetime import timedelta

from loguru import logger
from result import Ok

from features.gateway.exchanges import read_reply, request
from zinniaramp.daemon.gateway_daemon import Daemon
from zinniaramp.platform.settings import HostBounds, HostLimits, HostSettings
from zinniaramp.registry import StoreRevision
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import (
    GatewayProcess,
    SegmentEngine,
    ServerStandin,
    StoreStandin,
)
from zinniaramp.standins.processes import free_port
from zinniaramp.standins.serving import Faults

LOOPBACK = "127.0.0.1"
MAX_WAIT_SECONDS = 20
"""Timeout of every step that waits for a condition."""
POLL_INTERVAL_SECONDS = 0.005
ENGINE_TIME_FACTOR = 0.02
"""Factor on the engines' step times, which makes the prefill of long prompts fast."""

HEARTBEAT_INTERVAL = timedelta(seconds=1.2)
"""Interval at which servers write their entries, in the daemons' settings."""

STORE_HISTORY = timedelta(seconds=20)
"""Time for which the store keeps its changes, in the daemons' settings."""

HOST_BOUNDS = HostBounds(
    grace=timedelta(seconds=8),
    endpoint_relist_window=timedelta(seconds=2),
    retry_share=0.2,
    retry_slack=56,
    retry_window=timedelta(seconds=10),
)


@dataclass(slots=True, kw_only=True)
class Rig:
    """Stand-ins, gateway daemons and processes of a scenario, and the logged events."""

    runner: asyncio.Runner = field(default_factory=asyncio.Runner)
    store: StoreStandin = field(default_factory=StoreStandin)
    servers: dict[str, ServerStandin] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    processes: list[GatewayProcess] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    events: list = field(default_factory=list)
    restarts: int = 0
    sink: int | None = None
    regions: dict[str, str] = field(default_factory=dict)
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0

    def run(self, coroutine):
        """Run a coroutine of a step, with a timeout of `MAX_WAIT_SECONDS`."""

        async def bounded():
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                return await coroutine

        return self.runner.run(bounded())

    def record_event(self, message):
        """Record a logged event; the log sink calls this."""
        extra = message.record["extra"]
        if "event" in extra:
            self.events.append((extra["event"].name, extra["values"]))

    async def start(self):
        """Start recording events and start the store."""
        self.sink = logger.add(self.record_event, level="DEBUG")
        self.store.listen()

    async def add_server(self, name, *, service="plain", publish=True, **fields):
        """Start a server and, by default, publish its entry in the store."""
        server = ServerStandin(id=name)
        server.listen()
        self.servers[name] = server
        if publish:
            self.publish(name, service=service, **fields)
        return server

    async def add_model_server(
        self,
        name,
        *,
        slots,
        start_engine=True,
        refuses_reads_for=None,
        has_endless_reads=False,
        born=1000,
        **fields,
    ):
        """Start a model server with a batching engine and publish its entry."""
        server = ServerStandin(id=name, has_endless_reads=has_endless_reads)
        if refuses_reads_for is not None:
            server.refuses_reads = True
            server.retry_after = refuses_reads_for
        server.engine = SegmentEngine(model="m", slots=slots)
        server.engine.engine.controls.apply(Faults(slow=ENGINE_TIME_FACTOR))
        server.listen()
        self.servers[name] = server
        if start_engine:
            self.start_engine(name)
        self.publish(name, service="model", born=born, **fields)

    async def restart_server(self, name):
        """Start a server again after a crash, as another incarnation."""
        before = self.servers[name]
        self.restarts += 1
        born = 1000 + self.restarts
        if before.engine is None:
            await self.add_server(name, publish=False)
            self.publish(name, born=born)
        else:
            await self.add_model_server(name, slots=4, born=born)
        server = self.servers[name]
        server.arrivals = before.arrivals
        server.crash_request = before.crash_request
        server.crash_segment = before.crash_segment
        server.events_before_crash = before.events_before_crash
        server.is_unframed = before.is_unframed

    def start_engine(self, name):
        """Start the engine of a model server."""
        engine = self.servers[name].engine.engine
        self.tasks.append(asyncio.create_task(engine.run()))

    async def add_processes(self, directory, *, count=1):
        """Start gateways as separate processes with each other as seeds."""
        for _ in range(count):
            name = f"process-{len(self.processes) + 1}"
            process = GatewayProcess(
                directory=directory, name=name, store=self.store.port
            )
            self.processes.append(process)
        for process in self.processes:
            process.seeds = tuple(one.peers for one in self.processes[:3])
            await process.start()

    async def process_readiness_status(self, process):
        """Return the status of a process's readiness check; 0 if it does not listen."""
        address = Address(ip=LOOPBACK, port=process.ready)
        try:
            data = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
            return (await self.exchange(data, address)).status
        except ConnectionError:
            return 0

    async def wait_until_ready(self, process, status=200):
        """Wait until the readiness check of a process returns a status."""
        while await self.process_readiness_status(process) != status:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def call_process(self, process, path, **fields):
        """Send one request to a process and return the reply."""
        address = Address(ip=LOOPBACK, port=process.callers)
        return await self.exchange(request(path, **fields), address)

    async def wait_until_logged(self, process, name, **fields):
        """Wait for an event with certain fields in the log of a process."""

        def is_logged():
            lines = process.log_path.read_text().splitlines()
            events = (json.loads(line) for line in lines if line.endswith("}"))
            return any(
                event["name"] == name and fields.items() <= event.items()
                for event in events
            )

        await self.wait_until(is_logged)

    def publish(
        self, name, *, state="ready", service="plain", born=1000, port=None, **fields
    ):
        """Publish the entry of a server in the store."""
        entry = {
            "service": service,
            "address": f"{LOOPBACK}:{port or self.servers[name].port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": born,
            **fields,
        }
        self.store.put(f"servers/{name}", entry)

    async def add_daemon(
        self,
        *,
        seeds=(),
        wait=True,
        bounds=HOST_BOUNDS,
        listener=None,
        store=None,
        link_mbps=None,
    ):
        """Start a gateway daemon and, by default, wait until it is ready."""
        ports = [free_port() for _ in range(4)]
        callers, readiness, peers, metrics = ports
        settings = HostSettings(
            name=f"entry-{len(self.daemons) + 1}",
            data_center="a",
            ip=LOOPBACK,
            callers=Address(ip=LOOPBACK, port=callers),
            readiness=Address(ip=LOOPBACK, port=readiness),
            peers=Address(ip=LOOPBACK, port=peers),
            metrics_port=metrics,
            store=store or Address(ip=LOOPBACK, port=self.store.port),
            store_history=STORE_HISTORY,
            heartbeat=HEARTBEAT_INTERVAL,
            seeds=tuple(seeds),
            bounds=replace(
                bounds, cold_overshoot=self.cold_overshoot, cold_slack=self.cold_slack
            ),
            regions=self.regions,
            limits=HostLimits(link_mbps=link_mbps),
        )
        daemon = Daemon(
            settings=settings, read_settings=lambda: Ok(settings), listener=listener
        )
        self.daemons.append(daemon)
        task = asyncio.create_task(daemon.run())
        self.tasks.append(task)
        if wait:
            await self.wait_until(
                lambda: task.done() or not daemon.gateway.unready_reason()
            )
            assert not task.done(), task.exception()
            await self.wait_until(
                lambda: len(daemon.registry.endpoints) == len(self.listed_server_keys())
            )
        return daemon

    def listed_server_keys(self):
        """Return the keys of the server entries in the store."""
        return [key for key in self.store.items if key.startswith("servers/")]

    @staticmethod
    async def wait_until(condition):
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def readiness_reply(self, daemon=None):
        """Return the reply of a daemon's readiness check."""
        daemon = daemon or self.daemons[0]
        address = daemon.settings.readiness
        return await self.exchange(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", address)

    async def readiness_status(self):
        """Return the status of the first daemon's readiness check."""
        return (await self.readiness_reply()).status

    async def connect(self, daemon=None, address=None):
        """Open a connection to an address or to a daemon's listener for callers."""
        if address is None:
            address = (daemon or self.daemons[0]).settings.callers
        return await asyncio.open_connection(address.ip, address.port)

    async def exchange(self, data, address=None):
        """Send bytes on a new connection and return the reply."""
        reader, writer = await self.connect(address=address)
        writer.write(data)
        reply = await read_reply(reader, on_headers=self.signal_answer_started)
        writer.close()
        return reply

    def signal_answer_started(self):
        """Signal to all servers that a caller has received the headers of an answer."""
        for server in self.servers.values():
            server.answer_started.set()

    async def call(self, path, *, name="r-1", **fields):
        """Send one request and return the reply."""
        return await self.exchange(request(path, name=name, **fields))

    def arrivals(self):
        """Return all requests that reached servers, in order of arrival."""
        by_identity = {id(server): server for server in self.servers.values()}
        arrivals = [one for server in by_identity.values() for one in server.arrivals]
        return sorted(arrivals, key=lambda one: one.received_at)

    def drop_arrivals(self, name):
        """Remove a request from the recorded arrivals."""
        for server in self.servers.values():
            server.arrivals = [
                one
                for one in server.arrivals
                if one.headers["Zinniaramp-Request-Id"] != name
            ]

    def logged_events(self, name):
        """Return the field values of all logged events with a name."""
        return [values for event, values in self.events if event == name]

    def close(self):
        """Stop all daemons, processes and stand-ins."""
        self.runner.run(self._shut_down())
        self.runner.close()
        logger.remove(self.sink)

    async def _shut_down(self):
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            await process.end(signal.SIGKILL)
        for server in self.servers.values():
            server.released.set()
        self.store.is_silent = False
        self.store.wake_watches()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.gateway.callers.close()
        for server in self.servers.values():
            server.server.stop()
            await server.server.close_all_connections()
        self.store.server.stop()
        await self.store.server.close_all_connections()


def in_force(context, version):
    """Return whether the first gateway has applied a configuration version."""
    registry = context.rig.daemons[0].registry
    return registry.configuration.version == version


def wait_for_latest_revision(context):
    """Wait until the first gateway has the latest revision of the store."""
    rig = context.rig
    cache = rig.daemons[0].registry.cache
    rig.run(rig.wait_until(lambda: cache.revision >= store_revision(rig.store)))


def store_revision(store):
    """Return the revision of the store's stand-in."""
    return StoreRevision(era=store.era, number=store.revision)
