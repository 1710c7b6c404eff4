"""Steps for crowds of misbehaving callers at a gateway's process."""

import asyncio
import itertools
import signal
import sys
from dataclasses import dataclass

from behave import given, then, when

from features.gateway.configurations import CLIENT_LIMITS, configuration
from features.gateway.rig import LOOPBACK, Rig
from features.intake.crowds import MESSAGES, PATHS, SLOW_READS, Crowd
from features.intake.measurements import Subject
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import GatewayProcess, ServerBehaviour

SERVERS = ("s-1", "s-2")
CROWD_REQUESTS = 2_000
"""More requests than any crowd gets through to the servers."""
ORDINARY_PATH = "/read/x"
TRY_PAUSE_SECONDS = 0.1
"""Pause before an ordinary caller that was refused tries again."""
STEP_SECONDS = 60
"""Timeout of a step, far above what a crowd and the reading of its bytes may take."""
STOP_DELAY_SECONDS = 0.3
"""Time for which a crowd has sent when the process is told to stop."""
UNCONFIGURED_STATUS = 503
"""Status of the readiness check of a process without a configuration."""


@dataclass(slots=True, kw_only=True)
class Place:
    """Where a crowd sends, and the process that it loads."""

    ports: tuple[int, ...]
    path: str
    subject: Subject


@given(
    "a gateway process with {memory:d} MiB of memory and {descriptors:d} descriptors"
)
def start_process(context, memory, descriptors):
    launch(context, memory, descriptors, configuration())


@given(
    "a gateway process with {memory:d} MiB of memory, {descriptors:d} descriptors and "
    "bodies of up to {size:d} bytes"
)
def start_process_for_large_bodies(context, memory, descriptors, size):
    limits = {**CLIENT_LIMITS, "max_body_bytes": size}
    launch(context, memory, descriptors, configuration(limits=limits))


@given(
    "a gateway process with {memory:d} MiB of memory, {descriptors:d} descriptors and "
    "no configuration"
)
def start_unconfigured(context, memory, descriptors):
    launch(context, memory, descriptors, None)


def launch(context, memory, descriptors, published):
    rig = context.rig = Rig()
    context.end_fleet = lambda: close(context)
    context.crowd, context.subjects = None, []
    context.run = lambda step: rig.runner.run(asyncio.wait_for(step, STEP_SECONDS))

    async def start():
        await rig.start()
        if published is not None:
            rig.store.put("op/config", published)
        for name in SERVERS:
            await rig.add_server(name)
        process = GatewayProcess(
            directory=context.directory,
            name="process-1",
            store=rig.store.port,
            limits={"memory_mb": memory, "max_fds": descriptors},
        )
        rig.processes.append(process)
        await process.start()
        if published is None:
            await rig.wait_until_ready(process, UNCONFIGURED_STATUS)
            return
        await rig.wait_until_ready(process)
        reply = await rig.call_process(process, ORDINARY_PATH)
        assert reply.status == 200, reply

    rig.run(start())
    process = rig.processes[0]
    subject = Subject(
        name="gateway",
        pid=process.process.pid,
        is_alive=lambda: process.process.returncode is None,
        memory_limit_mb=memory,
        descriptor_limit=descriptors,
    )
    context.subjects.append(subject)
    subject.start()
    context.places = gateway_places(process, subject)
    context.send_ordinary = lambda: send_ordinary(context)


def gateway_places(process, subject):
    everything = (process.callers, process.ready, process.metrics, process.peers)
    ports = {
        "the readiness listener": (process.ready,),
        "the metrics listener": (process.metrics,),
        "the peer listener": (process.peers,),
        "all listeners": everything,
    }
    return {
        place: Place(
            ports=ports.get(place, (process.callers,)), path=path, subject=subject
        )
        for place, path in PATHS.items()
    }


def close(context):
    for subject in context.subjects:
        subject.stop()
        # Behave shows what a step prints only if the step fails.
        print(f"{context.scenario.name}: {subject.describe()}", file=sys.__stdout__)
    if context.crowd is not None:
        context.rig.runner.run(context.crowd.leave())
    context.rig.close()


@given("servers that hold the requests of the crowd")
def hold_requests(context):
    for server in context.rig.servers.values():
        server.behaviours.extend([ServerBehaviour.HOLD] * CROWD_REQUESTS)


@given('servers that answer the crowd with "{behaviour}"')
def answer_crowd(context, behaviour):
    for server in context.rig.servers.values():
        server.behaviours.extend([ServerBehaviour(behaviour)] * CROWD_REQUESTS)


@given("servers whose answers have {size:d} bytes")
def pad_answers(context, size):
    for server in context.rig.servers.values():
        server.padding_bytes = size


def make_crowd(context, kind, place):
    target = context.places[place]
    context.crowd = Crowd(
        ports=target.ports,
        make_pieces=lambda number: MESSAGES[kind](target.path, number),
        is_slow=kind == "one byte at a time",
        reads=SLOW_READS if kind == "streams, read slowly" else 0,
    )
    return context.crowd


@when('{count:d} callers send "{kind}" to {place}')
def send_crowd(context, count, kind, place):
    async def send():
        await make_crowd(context, kind, place).send(count)
        await context.places[place].subject.settle()

    context.run(send())


@when('the process stops while {count:d} callers send "{kind}" to {place}')
def send_crowd_and_stop(context, count, kind, place):
    process = context.rig.processes[0]

    async def send():
        sending = asyncio.create_task(make_crowd(context, kind, place).send(count))
        await asyncio.sleep(STOP_DELAY_SECONDS)
        process.send_signal(signal.SIGTERM)
        await sending
        context.exit_code = await process.process.wait()

    context.run(send())


@when('the process is suspended while {count:d} callers send "{kind}" to {place}')
def send_crowd_to_suspended(context, count, kind, place):
    process = context.rig.processes[0]

    async def send():
        process.send_signal(signal.SIGSTOP)
        await make_crowd(context, kind, place).send(count)
        process.send_signal(signal.SIGCONT)
        await context.places[place].subject.settle()

    context.run(send())


@then("the process lives within its limits")
@then("the processes live within their limits")
def is_within_limits(context):
    context.run(asyncio.sleep(0))
    for subject in context.subjects:
        subject.measure()
        assert subject.is_alive(), f"ended: {subject.describe()}"
        subject.check_limits()


@then("the process ended by itself within its limits")
def ended_within_limits(context):
    assert context.exit_code == 0, context.exit_code
    for subject in context.subjects:
        subject.check_limits()


@then("an ordinary request is answered")
def is_answered(context):
    context.run(context.send_ordinary())
    is_within_limits(context)


async def send_ordinary(context):
    """Send like a caller that was refused or cut off: again, after a pause."""
    rig, process = context.rig, context.rig.processes[0]
    for server in rig.servers.values():
        server.behaviours.clear()
        server.padding_bytes = 0
    if "op/config" not in rig.store.items:
        rig.store.put("op/config", configuration())
    ready = Address(ip=LOOPBACK, port=process.ready)
    for number in itertools.count(1):
        reply = await rig.call_process(
            process, ORDINARY_PATH, name=f"ordinary-{number}"
        )
        if reply.status == 200:
            break
        await asyncio.sleep(TRY_PAUSE_SECONDS)
    check = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
    while (await rig.exchange(check, ready)).status != 200:
        await asyncio.sleep(TRY_PAUSE_SECONDS)
    await context.crowd.leave()
