"""Steps for the shutdown of the daemon and its supervised tasks."""

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

FORCED_EXIT_PROGRAM = """
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
    shutdown.listen(asyncio.get_running_loop())
    os.kill(os.getpid(), signal.SIGTERM)
    await shutdown.drain(Process(), limit=timedelta(seconds=20))

asyncio.run(run())
"""
"""Program whose drain never ends and which sends itself SIGTERM twice."""


class FakeProcess:
    """Process whose drain ends when `ended` is set.

    Parameters
    ----------
    left : int
        Number of requests that the drain reports as still in flight.
    """

    def __init__(self, left):
        self.ended = asyncio.Event()
        self.left = left

    def is_ready(self):
        """Return that the process accepts requests."""
        return True

    async def drain(self):
        """Wait for the end of the request in flight."""
        await self.ended.wait()
        return self.left


class SettledFollowers:
    """Followers whose initial lookup of the newest revision has ended."""

    is_initial_lookup_done = True


def start_process(context, left):
    """Start a task that waits for a signal and then drains the process."""
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


@given("a daemon with 1 request in flight")
def start_with_request(context):
    start_process(context, left=0)


@given("a daemon whose drain ends with {count:d} requests in flight")
def start_with_leftovers(context, count):
    start_process(context, left=count)
    context.process.ended.set()


@when("the daemon receives SIGTERM")
def receive_signal(context):
    context.bench.run_in_loop(lambda: context.shutdown.handle_signal(signal.SIGTERM))


@when("a process whose drain never ends receives SIGTERM twice")
def run_forced_exit(context):
    context.forced = subprocess.run(
        [sys.executable, "-c", FORCED_EXIT_PROGRAM],
        capture_output=True,
        timeout=WAIT_LIMIT_SECONDS,
        check=False,
    )


@then("the daemon is not ready")
def check_not_ready(context):
    context.bench.wait_until(lambda: context.bench.events_named("shutdown-started"))
    assert not context.view.is_ready()
    assert context.codes == []


@then("when the request ends the daemon exits with code {code:d}")
def end_request(context, code):
    context.process.ended.set()
    check_stopped(context, code)


@then("the daemon exits with code {code:d}")
def check_stopped(context, code):
    context.bench.wait_until(lambda: context.codes)
    assert context.codes == [code]


@then("the process has exited with code {code:d}")
def check_forced(context, code):
    assert context.forced.returncode == code, context.forced.stderr


@given("a task that raises an exception in its first run")
def raising_task(context):
    context.bench = Bench()
    context.add_cleanup(context.bench.close)
    context.runs = []

    async def task():
        context.runs.append(1)
        if len(context.runs) == 1:
            raise ValueError("broken")

    context.task = task


@when("the task is supervised")
def supervise_task(context):
    context.bench.start_task(lambda: supervise("example", context.task))
    context.bench.wait_until(lambda: len(context.runs) == 2)


@then("the task runs twice, and an event reports the exception")
def check_supervised(context):
    [event] = context.bench.events_named("task-failed")
    assert "broken" in event["error"]
    assert "daemon_steps.py" in event["where"]


@then('the endpoint process logs the event "{name}"')
def check_event(context, name):
    endpoint = next(process for process in context.fleet if process.role == "endpoint")
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while name not in (lines := Path(endpoint.log).read_text()):
        assert time.monotonic() < deadline, lines
        time.sleep(0.02)
    events = [json.loads(line).get("name") for line in lines.splitlines()]
    assert name in events


def http_json(url, data=None):
    """Return the JSON answer of a URL; with ``data`` it is sent as a POST."""
    with urllib.request.urlopen(url, data=data, timeout=WAIT_LIMIT_SECONDS) as response:
        return json.load(response)


@when("the operators publish changed declarations")
def publish_changed(context):
    service = next(
        process for process in context.fleet if process.role == "configuration"
    )
    text = DECLARATIONS.replace("attempts = 3", "attempts = 4")
    context.revision = http_json(f"{service.url}/standin/publish", text.encode())


@then("every process reports that the new revision is in force")
def check_in_force(context):
    daemons = [
        process for process in context.fleet if process.role in ("entry", "endpoint")
    ]
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    for daemon in daemons:
        url = daemon.ready_url.replace("/readyz", "/status")
        while (held := http_json(url)["revision"]) != context.revision:
            assert time.monotonic() < deadline, (daemon.name, held)
            time.sleep(0.02)
