"""Steps about the daemon's shutdown and its tasks."""

import asyncio
import json
import signal
import subprocess
import sys
import time
import urllib.request
from datetime import timedelta
from pathlib import Path

from behave import given, then, when

from features.platform_bench import DECLARATIONS, WAIT_LIMIT_SECONDS, Bench
from zinniaramp.daemon.shutdown import Shutdown
from zinniaramp.daemon.tasks import supervise
from zinniaramp.daemon.view import ProcessView

DRAIN_LIMIT = timedelta(seconds=WAIT_LIMIT_SECONDS)

FORCED = """
import asyncio, os, signal
from datetime import timedelta
from zinniaramp.clock import monotonic_clock
from zinniaramp.daemon.shutdown import Shutdown

class Process:
    async def drain(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.Event().wait()

async def run():
    shutdown = Shutdown(clock=monotonic_clock())
    shutdown.install_signal_handlers(asyncio.get_running_loop())
    os.kill(os.getpid(), signal.SIGTERM)
    await shutdown.drain(Process(), limit=timedelta(seconds=20))

asyncio.run(run())
"""
"""A process whose drain never ends, and which is sent SIGTERM twice."""


class FakeProcess:
    """Drains when it is told that its request has ended."""

    def __init__(self, left):
        self.ended = asyncio.Event()
        self.left = left

    def is_ready(self):
        """Tell that requests could be taken."""
        return True

    async def drain(self):
        """Wait for the request."""
        await self.ended.wait()
        return self.left


class SettledFollowers:
    """Followers that have found the newest revision."""

    is_initial_lookup_done = True


def start_process(context, left):
    """Start a shutdown that waits for a signal."""
    context.bench = Bench()
    context.add_cleanup(context.bench.close)
    context.process = FakeProcess(left)
    context.shutdown = Shutdown(clock=context.bench.clock)
    context.view = ProcessView(
        settings=None,
        process=context.process,
        identity=None,
        followers=SettledFollowers(),
        shutdown=context.shutdown,
    )
    context.codes = []

    async def drain():
        code = await context.shutdown.drain(context.process, limit=DRAIN_LIMIT)
        context.codes.append(code)

    context.bench.start_task(drain)
    assert context.view.is_ready()


@given("a process with a request in flight")
def process_in_flight(context):
    start_process(context, left=0)


@given("a process that leaves {count:d} requests when it drains")
def process_that_leaves(context, count):
    start_process(context, left=count)
    context.process.ended.set()


@when("it receives SIGTERM")
def receive_signal(context):
    context.bench.run_in_loop(lambda: context.shutdown.handle_signal(signal.SIGTERM))


@when("a process whose drain never ends is sent SIGTERM twice")
def send_twice(context):
    context.forced = subprocess.run(
        [sys.executable, "-c", FORCED],
        capture_output=True,
        timeout=WAIT_LIMIT_SECONDS,
        check=False,
    )


@then("it is not ready")
def check_not_ready(context):
    context.bench.wait_until(lambda: context.bench.events_named("shutdown-started"))
    assert not context.view.is_ready()
    assert context.codes == []


@then("when the request ends it stops with code {code:d}")
def end_request(context, code):
    context.process.ended.set()
    check_stopped(context, code)


@then("it stops with code {code:d}")
def check_stopped(context, code):
    context.bench.wait_until(lambda: context.codes)
    assert context.codes == [code]


@then("its process has ended with code {code:d}")
def check_forced(context, code):
    assert context.forced.returncode == code, context.forced.stderr


@given("a task that raises once")
def raising_task(context):
    context.bench = Bench()
    context.add_cleanup(context.bench.close)
    context.runs = []

    async def task():
        context.runs.append(1)
        if len(context.runs) == 1:
            raise ValueError("broken")

    context.task = task


@when("it is supervised")
def supervise_task(context):
    context.bench.start_task(lambda: supervise("example", context.task))
    context.bench.wait_until(lambda: len(context.runs) == 2)


@then("it runs twice, and an event names the exception")
def check_supervised(context):
    [found] = context.bench.events_named("task-failed")
    assert "broken" in found["error"]
    assert "daemon_steps.py" in found["where"]


@then('the endpoint\'s log ends with the event "{name}"')
def check_last_event(context, name):
    endpoint = next(one for one in context.fleet if one.role == "endpoint")
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while name not in (lines := Path(endpoint.log).read_text()):
        assert time.monotonic() < deadline, lines
        time.sleep(0.02)
    events = [json.loads(line).get("name") for line in lines.splitlines()]
    assert name in events


def http_json(url, data=None):
    """Return the JSON that a URL answers."""
    with urllib.request.urlopen(url, data=data, timeout=WAIT_LIMIT_SECONDS) as response:
        return json.load(response)


@when("the operators publish other declarations")
def publish_others(context):
    service = next(one for one in context.fleet if one.role == "configuration")
    text = DECLARATIONS.replace("attempts = 3", "attempts = 4")
    context.revision = http_json(f"{service.url}/standin/publish", text.encode())


@then("every process says that the new revision is in force")
def check_in_force(context):
    daemons = [one for one in context.fleet if one.role in ("entry", "endpoint")]
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    for daemon in daemons:
        url = daemon.ready_url.replace("/readyz", "/status")
        while (held := http_json(url)["revision"]) != context.revision:
            assert time.monotonic() < deadline, (daemon.name, held)
            time.sleep(0.02)
