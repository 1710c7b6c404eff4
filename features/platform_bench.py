"""Test benches: stand-ins of the platform's services and their followers."""

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
from zinniaramp.reads.curl import make_curl_reader
from zinniaramp.standins import configuration, hosts
from zinniaramp.standins.serving import Controls, Faults

ROOT = Path(__file__).resolve().parent.parent
DECLARATIONS = (ROOT / "examples" / "kilometerwerk" / "declarations.ini").read_text()
NO_REVISION = RevisionId(index=0, digest="")

SHORT_LIMITS = FollowerLimits(
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
"""Timeout of every wait for a condition."""


class Bench:
    """One event loop for stand-ins and followers, and the events that they log."""

    def __init__(self):
        self.runner = asyncio.Runner()
        self.events = []
        self.sink = logger.add(self.record_event, level="DEBUG")
        self.clock = monotonic_clock()
        self.tasks = []

    def record_event(self, message):
        """Record the event of a log message, if it has one."""
        extra = message.record["extra"]
        if "event" in extra:
            self.events.append((extra["event"].name, extra["values"]))

    def events_named(self, name):
        """Return the field values of the logged events with a name."""
        return [values for event, values in self.events if event == name]

    def wait_until(self, condition):
        """Run the loop until a condition holds; fail after a timeout."""

        async def poll():
            deadline = time.monotonic() + WAIT_LIMIT_SECONDS
            while not condition():
                assert time.monotonic() < deadline, (
                    "timeout while waiting for a condition"
                )
                await asyncio.sleep(0.005)

        self.runner.run(poll())

    def run_in_loop(self, function):
        """Call a function inside the running loop and return its result."""

        async def run():
            return function()

        return self.runner.run(run())

    def serve(self, routes, state, controls, port=0):
        """Start a stand-in's HTTP server; return the server and its port.

        A port of 0 selects a free one.
        """

        def listen():
            arguments = {"controls": controls, "state": state}
            app = Application([(path, handler, arguments) for path, handler in routes])
            if port:
                return app.listen(port, "127.0.0.1"), port
            socket, free_port = bind_unused_port()
            server = HTTPServer(app)
            server.add_sockets([socket])
            return server, free_port

        return self.run_in_loop(listen)

    def make_json_reader(self):
        """Return the function with which followers fetch JSON over HTTP."""
        return self.run_in_loop(
            lambda: make_curl_reader(
                CurlAsyncHTTPClient(force_instance=True), clock=self.clock
            )
        )

    def start_task(self, run):
        """Run a coroutine function as a task until `close`."""
        self.tasks.append(self.run_in_loop(lambda: asyncio.ensure_future(run())))

    def set_faults(self, **faults):
        """Replace the faults of the stand-in; those not passed are reset."""
        self.run_in_loop(lambda: self.controls.apply(Faults(**faults)))

    def close(self):
        """Cancel the tasks, close the loop and remove the log sink."""

        async def end():
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        self.runner.run(end())
        self.runner.close()
        logger.remove(self.sink)


class HostListBench(Bench):
    """A stand-in of the host list and one follower that reads it."""

    def __init__(self):
        super().__init__()
        self.controls = self.run_in_loop(lambda: Controls(faults=Faults()))
        self.registry = hosts.HostRegistry(hosts=[], clock=self.clock)
        self.server, port = self.serve(hosts.ROUTES, self.registry, self.controls)
        self.view = HostView()
        follower = HostListFollower(
            url=f"http://127.0.0.1:{port}",
            view=self.view,
            read_json=self.make_json_reader(),
            random=Random(1),
            shortest=timedelta(seconds=0.05),
        )
        self.start_task(follower.run)

    def set_list(self, entries, *, index):
        """Serve a list under an index, which may be lower than the one before."""
        listed = hosts.HostList(index=index, hosts=entries)
        self.registry.lists.record(listed)


class ConfigurationBench(Bench):
    """A stand-in of the configuration service and one follower that reads it."""

    def __init__(self):
        super().__init__()
        self.controls = self.run_in_loop(lambda: Controls(faults=Faults()))
        self.port = 0
        self.start_service(DECLARATIONS, index=3)

    def start_service(self, text, *, index):
        """Serve content under an index, always on the same port."""

        def make_service():
            return configuration.ConfigurationService(
                sections=configuration.split_sections(text).unwrap(),
                index=index,
                reads_per_s=2000,
                controls=self.controls,
                clock=self.clock,
            )

        self.service = self.run_in_loop(make_service)
        self.server, self.port = self.serve(
            configuration.ROUTES, self.service, self.controls, self.port
        )

    def restart_service(self, text, *, index):
        """Stop the service and start a new one without the revisions of the old one."""
        self.runner.run(self.server.close_all_connections())
        self.run_in_loop(self.server.stop)
        self.start_service(text, index=index)

    def publish(self, text):
        """Publish content as the next revision and return the revision."""
        sections = configuration.split_sections(text).unwrap()
        return self.run_in_loop(lambda: self.service.publish(sections))

    def new_store(self):
        """Return a store with the example's declarations and no published revision."""
        initial = read_declarations(
            DECLARATIONS, file="", revision=NO_REVISION
        ).unwrap()
        return RevisionStore(initial=initial, clock=self.clock)

    def start_follower(self, *, name="host-1", view=None, port=None):
        """Start a follower with a new store, by default without a link between."""
        self.store = self.new_store()
        read_json = self.make_json_reader()
        self.follower = self.run_in_loop(
            lambda: ConfigurationFollower(
                url=f"http://127.0.0.1:{port or self.port}",
                name=name,
                data_centre="dc-1",
                store=self.store,
                hosts=view or HostView(),
                read_json=read_json,
                clock=self.clock,
                random=Random(1),
                limits=SHORT_LIMITS,
            )
        )
        self.start_task(self.follower.run)
