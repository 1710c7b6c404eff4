"""Steps for crowds of misbehaving callers at a gateway's process."""

import asyncio
import itertools
import sys

from behave import given, then, when

from features.gateway.configurations import configuration
from features.gateway.rig import LOOPBACK, Rig
from features.intake.crowds import PATHS, SLOW_READS, Crowd, Peaks, settle
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import GatewayProcess, ServerBehaviour

SERVERS = ("s-1", "s-2")
CROWD_REQUESTS = 2_000
"""More requests than any crowd gets through to the servers."""
ORDINARY_PATH = "/read/x"
TRY_PAUSE_SECONDS = 0.1
"""Pause before an ordinary caller that was refused tries again."""


@given(
    "a gateway process with {memory:d} MiB of memory and {descriptors:d} descriptors"
)
def start_process(context, memory, descriptors):
    rig = context.rig = Rig()
    context.end_fleet = lambda: close(context)
    context.crowd = None
    context.limits = {"memory_mb": memory, "max_fds": descriptors}

    async def start():
        await rig.start()
        rig.store.put("op/config", configuration())
        for name in SERVERS:
            await rig.add_server(name)
        process = GatewayProcess(
            directory=context.directory,
            name="process-1",
            store=rig.store.port,
            limits=context.limits,
        )
        rig.processes.append(process)
        await process.start()
        await rig.wait_until_ready(process)
        reply = await rig.call_process(process, ORDINARY_PATH)
        assert reply.status == 200, reply

    rig.run(start())
    context.peaks = Peaks()
    context.peaks.measure(rig.processes[0].process.pid)
    context.idle_mb = context.peaks.memory_mb


def close(context):
    peaks = context.peaks
    # Behave shows what a step prints only if the step fails.
    print(
        f"{context.scenario.name}: {context.idle_mb:.0f} MiB idle, peak "
        f"{peaks.memory_mb:.0f} MiB and {peaks.descriptors} descriptors",
        file=sys.__stdout__,
    )
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


@when('{count:d} callers send "{kind}" to {place}')
def send_crowd(context, count, kind, place):
    process = context.rig.processes[0]
    others = {
        "the readiness listener": (process.ready,),
        "the metrics listener": (process.metrics,),
        "the peer listener": (process.peers,),
        "all listeners": (
            process.callers,
            process.ready,
            process.metrics,
            process.peers,
        ),
    }
    context.crowd = Crowd(
        ports=others.get(place, (process.callers,)),
        kind=kind,
        path=PATHS[place],
        is_slow=kind == "one byte at a time",
        reads=SLOW_READS if kind == "streams, read slowly" else 0,
    )

    async def send():
        watching = asyncio.create_task(context.peaks.watch(process.process))
        await context.crowd.send(count)
        await settle(process.process)
        watching.cancel()

    context.rig.run(send())
    context.peaks.measure(process.process.pid)


@then("the process lives within its limits")
def is_within_limits(context):
    process, peaks = context.rig.processes[0].process, context.peaks
    context.rig.run(asyncio.sleep(0))
    assert process.returncode is None, f"ended with {process.returncode}"
    assert peaks.memory_mb <= context.limits["memory_mb"], peaks
    assert peaks.descriptors <= context.limits["max_fds"], peaks


@then("an ordinary request is answered")
def is_answered(context):
    rig, process = context.rig, context.rig.processes[0]
    for server in rig.servers.values():
        server.behaviours.clear()
        server.padding_bytes = 0
    ready = Address(ip=LOOPBACK, port=process.ready)

    async def send():
        """Send like a caller that was refused or cut off: again, after a pause."""
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

    rig.run(send())
    context.peaks.measure(process.process.pid)
    is_within_limits(context)
