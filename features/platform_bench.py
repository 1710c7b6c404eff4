"""Stand-ins of the platform's services and followers, in one event loop."""

import asyncio
import time
from datetime import timedelta
from pathlib import Path
from random import Random

from loguru import logger
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from zinniaramp.clock import monotonic_clock
from zinniaramp.configuration import (
    ConfigurationFollower,
    FollowerLimits,
    RevisionStore,
)
from zinniaramp.contracts import RevisionId
from zinniaramp.declarations import read_declarations
from zinniaramp.hosts import HostListFollower, HostView
from zinniaramp.reads import make_http_reader
from zinniaramp.standins import configuration, hosts
from zinniaramp.standins.serving import Controls, Faults

ROOT = Path(__file__).resolve().parent.parent
DECLARATIONS = (ROOT / "examples" / "kilometerwerk" / "declarations.ini").read_text()
NO_REVISION = RevisionId(index=0, digest="")

FAST = FollowerLimits(
    watch_shortest=timedelta(seconds=0.2),
    watch_longest=timedelta(seconds=0.2),
    answer=timedelta(seconds=0.3),
    min_spacing=timedelta(seconds=0.05),
    silence_limit=timedelta(seconds=0.1),
    backoff_first=timedelta(seconds=0.02),
    backoff_limit=timedelta(seconds=0.1),
    check=timedelta(seconds=0.02),
)
WAIT_LIMIT_SECONDS = 10
"""Bound on every wait for a condition."""


class Bench:
    """One event loop with stand-ins, followers and the events they write."""

    def __init__(self):
        self.runner = asyncio.Runner()
        self.events = []
        self.sink = logger.add(self.note, level="DEBUG")
        self.clock = monotonic_clock()
        self.tasks = []

    def note(self, message):
        """Keep an event."""
        extra = message.record["extra"]
        if "event" in extra:
            self.events.append((extra["event"].name, extra["values"]))

    def events_named(self, name):
        """Return the values of the events of one name."""
        return [values for event, values in self.events if event == name]

    def wait_until(self, condition):
        """Run the loop until a condition holds; fail after the limit."""

        async def poll():
            deadline = time.monotonic() + WAIT_LIMIT_SECONDS
            while not condition():
                assert time.monotonic() < deadline, "condition never held"
                await asyncio.sleep(0.005)

        self.runner.run(poll())

    def run_in_loop(self, function):
        """Call a function inside the loop."""

        async def run():
            return function()

        return self.runner.run(run())

    def serve(self, routes, state, controls, port=0):
        """Serve a stand-in's calls and return its server and port."""

        def listen():
            given = {"controls": controls, "state": state}
            app = Application([(path, handler, given) for path, handler in routes])
            if port:
                return app.listen(port, "127.0.0.1"), port
            socket, free = bind_unused_port()
            server = HTTPServer(app)
            server.add_sockets([socket])
            return server, free

        return self.run_in_loop(listen)

    def reader(self):
        """Return a function that reads JSON."""
        return self.run_in_loop(
            lambda: make_http_reader(CurlAsyncHTTPClient(force_instance=True))
        )

    def start_task(self, run):
        """Run a coroutine function as a task."""
        self.tasks.append(self.run_in_loop(lambda: asyncio.ensure_future(run())))

    def set_faults(self, **faults):
        """Put faults in force."""
        self.run_in_loop(lambda: self.controls.apply(Faults(**faults)))

    def close(self):
        """End the tasks and the loop."""

        async def end():
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        self.runner.run(end())
        self.runner.close()
        logger.remove(self.sink)


class HostListBench(Bench):
    """A stand-in of the host list and one follower of it."""

    def __init__(self):
        super().__init__()
        self.controls = self.run_in_loop(lambda: Controls(faults=Faults()))
        self.registry = hosts.HostRegistry(hosts=[], clock=self.clock)
        self.server, port = self.serve(hosts.ROUTES, self.registry, self.controls)
        self.view = HostView()
        follower = HostListFollower(
            url=f"http://127.0.0.1:{port}",
            view=self.view,
            read_json=self.reader(),
            random=Random(1),
            shortest=timedelta(seconds=0.05),
        )
        self.start_task(follower.run)

    def set_list(self, entries, *, index):
        """Serve a list under an index, whatever was served before."""
        listed = hosts.HostList(index=index, hosts=entries)
        self.registry.history.record(listed)


class ConfigurationBench(Bench):
    """A stand-in of the configuration service and one follower of it."""

    def __init__(self):
        super().__init__()
        self.controls = self.run_in_loop(lambda: Controls(faults=Faults()))
        self.port = 0
        self.open(DECLARATIONS, index=3)

    def open(self, text, *, index):
        """Serve content, on the same port as before."""

        def make():
            return configuration.ConfigurationService(
                sections=configuration.split_sections(text).unwrap(),
                index=index,
                reads_per_s=2000,
                controls=self.controls,
                clock=self.clock,
            )

        self.service = self.run_in_loop(make)
        self.server, self.port = self.serve(
            configuration.ROUTES, self.service, self.controls, self.port
        )

    def restart_service(self, text, *, index):
        """End the service and start one that knows nothing of the former."""
        self.runner.run(self.server.close_all_connections())
        self.run_in_loop(self.server.stop)
        self.open(text, index=index)

    def publish(self, text):
        """Publish content."""
        sections = configuration.split_sections(text).unwrap()
        return self.run_in_loop(lambda: self.service.publish(sections))

    def new_store(self):
        """Return a store with the example's content, from a file."""
        initial = read_declarations(
            DECLARATIONS, file="", revision=NO_REVISION
        ).unwrap()
        return RevisionStore(initial=initial, clock=self.clock)

    def start_follower(self, *, name="host-1", view=None):
        """Start a follower with a store of its own."""
        self.store = self.new_store()
        read_json = self.reader()
        self.follower = self.run_in_loop(
            lambda: ConfigurationFollower(
                url=f"http://127.0.0.1:{self.port}",
                name=name,
                data_centre="dc-1",
                store=self.store,
                hosts=view or HostView(),
                read_json=read_json,
                clock=self.clock,
                random=Random(1),
                limits=FAST,
            )
        )
        self.start_task(self.follower.run)
