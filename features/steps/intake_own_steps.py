"""Steps for crowds at the processes of the product's own interface."""

import asyncio
import itertools
import json
import os
import resource
import signal
import sys
from contextlib import contextmanager
from pathlib import Path
from urllib.parse import urlsplit

from behave import given, then, when

from features.gateway.exchanges import read_reply
from features.gateway.rig import LOOPBACK
from features.intake.crowds import MESSAGES, own_request
from features.intake.measurements import Subject
from features.steps.intake_steps import (
    STEP_SECONDS,
    STOP_DELAY_SECONDS,
    Place,
    make_crowd,
)
from features.support.processes import fetch_json
from zinniaramp.standins.fleet import MODEL, FleetOptions, bring_up, is_alive

DECLARATIONS = f"""
[defaults]
class_name = question
body_limit = 2097152
[class question]
tier = 1
deadline = 60
[model {MODEL}]
[service ledger]
class_name = question
"""
MEMORY_MB = 256
"""Default memory of a process; what control may take on a host."""
TRY_PAUSE_SECONDS = 0.1
"""Pause before an ordinary caller that was refused tries again."""
DAEMONS = ("entry", "endpoint")


@contextmanager
def descriptor_limit(count):
    """Limit the descriptors of the processes that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


@given("{entries:d} entry processes and endpoints with {descriptors:d} descriptors")
def start_own_processes(context, entries, descriptors):
    declarations = context.directory / "own.ini"
    declarations.write_text(DECLARATIONS)
    context.runner = asyncio.Runner()
    context.run = lambda step: context.runner.run(asyncio.wait_for(step, STEP_SECONDS))
    context.crowd, context.subjects, context.places = None, [], {}
    with descriptor_limit(descriptors):
        # The environment's hook ends the processes that are listed in this directory.
        context.processes = bring_up(
            context.directory,
            entries=entries,
            services=1,
            options=FleetOptions(
                declarations=declarations, settings={"fleet": {"drain_limit": "5"}}
            ),
        )
    context.end_fleet = lambda: close(context)
    for process in context.processes:
        if process.role in DAEMONS:
            add_subject(context, process, descriptors)
    context.send_ordinary = lambda: send_ordinary(context)
    context.run(answer_chat(context))


def add_subject(context, process, descriptors):
    subject = Subject(
        name=process.name,
        pid=process.pid,
        is_alive=lambda: is_alive(process),
        memory_limit_mb=MEMORY_MB,
        descriptor_limit=descriptors,
    )
    context.subjects.append(subject)
    subject.start()
    main = "callers" if process.role == "entry" else "streams"
    for name, address in (
        (main, process.address),
        ("operators", urlsplit(process.operator).netloc),
    ):
        context.places[f"the {name} of {process.name}"] = Place(
            ports=(int(address.rpartition(":")[2]),),
            path="/status" if name == "operators" else "/v1/chat/completions",
            subject=subject,
        )
    if process.role == "entry":
        place = context.places.setdefault(
            "the callers of all entries",
            Place(ports=(), path="/v1/chat/completions", subject=subject),
        )
        place.ports += context.places[f"the callers of {process.name}"].ports


def close(context):
    for subject in context.subjects:
        subject.stop()
        print(f"{context.scenario.name}: {subject.describe()}", file=sys.__stdout__)
    if context.crowd is not None:
        context.runner.run(context.crowd.leave())
    context.runner.close()


def set_silence(context, is_silent):
    for process in context.processes:
        if process.role in ("engine", "service"):
            fetch_json(f"{process.url}/standin/faults", {"silent": is_silent})


@given("engines and services that give no answer")
def silence(context):
    set_silence(context, True)


async def send_ordinary(context):
    """Send like a caller that was refused or cut off: again, after a pause."""
    set_silence(context, False)
    await answer_chat(context)
    for place, target in context.places.items():
        if "operators" in place:
            await repeat_until_answered(target.ports[0], [get("/healthz")])
    await context.crowd.leave()


@when('{name} stops while {count:d} callers send "{kind}" to {place}')
def send_crowd_and_stop(context, name, count, kind, place):
    subject = context.places[place].subject

    async def send():
        crowd = make_crowd(context, kind, place)
        sending = asyncio.create_task(crowd.send(count))
        await asyncio.sleep(STOP_DELAY_SECONDS)
        os.kill(subject.pid, signal.SIGTERM)
        await sending
        while subject.is_alive():
            await asyncio.sleep(TRY_PAUSE_SECONDS)

    context.run(send())
    context.stopped = subject


@then("the process stopped by itself within its limits")
def stopped_within_limits(context):
    process = next(one for one in context.processes if one.name == context.stopped.name)
    assert '"shutdown-ended"' in Path(process.log).read_text()
    for subject in context.subjects:
        subject.check_limits()


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()


async def answer_chat(context):
    """Send a chat request to each entry until it is answered."""
    chat = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "x"}],
        "metadata": {"output_tokens": 1},
    }
    body = json.dumps(chat).encode()
    pieces = list(own_request("/v1/chat/completions", len(body), [body]))
    for process in context.processes:
        if process.role == "entry":
            port = int(process.address.rpartition(":")[2])
            await repeat_until_answered(port, pieces)


async def repeat_until_answered(port, pieces):
    for _ in itertools.count():
        reply = await exchange(port, pieces)
        if reply.status == 200:
            return
        await asyncio.sleep(TRY_PAUSE_SECONDS)


async def exchange(port, pieces):
    """Send pieces on a new connection while reading, and return the reply."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)

    async def send():
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            # The process has closed the connection; its answer may have arrived.
            return

    sending = asyncio.create_task(send())
    reply = await read_reply(reader)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    writer.transport.abort()
    return reply


@when('a caller that reads sends "{kind}" to {place}')
def send_and_read(context, kind, place):
    target = context.places[place]
    pieces = MESSAGES[kind](target.path, 0)
    context.reply = context.run(exchange(target.ports[0], pieces))


@then("the caller gets 413 and a code")
def gets_refusal(context):
    assert context.reply.status == 413, context.reply
    assert context.reply.is_complete, context.reply
    assert json.loads(context.reply.body)["error"]["code"], context.reply
    for subject in context.subjects:
        assert subject.is_alive(), subject.describe()


@when("{count:d} calls of the largest size are sent to {place} one after another")
def send_calls(context, count, place):
    send_repeatedly(context, count, "complete calls", place)


@when('{count:d} times "{kind}" are sent to {place}')
def send_repeatedly(context, count, kind, place):
    target = context.places[place]

    async def send():
        return [
            await exchange(target.ports[0], MESSAGES[kind](target.path, number))
            for number in range(count)
        ]

    context.replies = context.run(send())


@then("each call is answered")
def each_answered(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * len(statuses), statuses
