"""Steps for streams that their callers take up at another gateway."""

import asyncio
import re
import signal
from dataclasses import dataclass

from behave import given, then, when

from features.gateway.configurations import configuration, route
from features.gateway.exchanges import Reply, request
from features.steps.gateway_disruption_steps import start_processes
from features.steps.gateway_quarantine_steps import prompt_lines
from features.steps.gateway_versions_steps import servers_reached
from zinniaramp.sockets import Address
from zinniaramp.standins.platform import expected_events
from zinniaramp.standins.platform.process import LOOPBACK
from zinniaramp.standins.serving import Faults

PLAIN_EVENTS = 4
"""Events of a plain server's complete stream."""

ENGINE_EVENTS = 60
"""Events of an engine's complete stream; several arrive at a time."""

ENGINE_TIME_FACTOR = 0.5
"""Factor on the engines' step times; a stream lasts longer than its first read."""

EVENT_SECONDS = 0.05
"""Time between two events of a plain server's stream."""

TELLING_SECONDS = 0.05
"""Time in which gateways tell each other where streams began."""

DEADLINE_MS = 15_000
"""Deadline of each request; all gateways start again within it."""


@dataclass(slots=True, kw_only=True)
class TakenUpStream:
    """A stream that broke off at its caller, and how it went on.

    Parameters
    ----------
    first, second : str
        Ids of the request that began it and of the one that takes it up.
    events, last : int
        Number of events that the caller has of the first answer, and in all.
    lines : tuple of str
        Header lines that both requests have.
    reply : Reply or None
        Answer to the second request; None before it.
    """

    first: str
    second: str
    events: int
    last: int
    lines: tuple[str, ...]
    reply: Reply | None = None

    def goes_on(self):
        """Return whether the second answer has the rest of the stream."""
        rest = expected_events(self.second, self.events + 1, self.last)
        reply = self.reply
        return reply.status == 200 and reply.is_complete and reply.body == rest


@given('the model servers "{names}" with their software versions')
def list_model_servers_with_versions(context, names):
    context.versions = dict(name.split("=") for name in names.split())
    for name, version in context.versions.items():
        call = context.rig.add_model_server(name, slots=4, version=version)
        context.rig.run(call)


@given("{count:d} connected gateway processes")
def start_connected_processes(context, count):
    rig = context.rig
    start_processes(context, count)
    for process in rig.processes:
        for other in rig.processes:
            if other is not process:
                peer = f"{LOOPBACK}:{other.peers}"
                rig.run(rig.wait_until_logged(process, "peer-found", peer=peer))


async def read_events(reader):
    """Read an answer until it has a complete event; return the number of events."""
    await reader.readuntil(b"\r\n\r\n")
    body = b""
    while b"\n\n" not in body:
        size = int(await reader.readuntil(b"\r\n"), 16)
        assert size, body
        body += (await reader.readexactly(size + 2))[:-2]
    return body.count(b"\n\n")


async def begin_streams(context, count):
    """Begin streams at the first gateway and break each off after its first event."""
    rig = context.rig
    has_engines = any(server.engine for server in rig.servers.values())
    context.path = "/talk/x" if has_engines else "/resume/x"
    last = ENGINE_EVENTS if has_engines else PLAIN_EVENTS
    for server in rig.servers.values():
        server.event_seconds = EVENT_SECONDS
        server.events = last
        if server.engine:
            slowness = Faults(slow=ENGINE_TIME_FACTOR)
            server.engine.engine.controls.apply(slowness)
    context.streams = []
    address = Address(ip=LOOPBACK, port=rig.processes[0].callers)
    for number in range(count):
        first = f"first-{number}"
        lines = prompt_lines(["a"], f"own-{number}") if has_engines else ()
        reader, writer = await rig.connect(address=address)
        data = request(context.path, name=first, lines=lines, deadline_ms=DEADLINE_MS)
        writer.write(data)
        events = await read_events(reader)
        writer.close()
        stream = TakenUpStream(
            first=first,
            second=f"second-{number}",
            events=events,
            last=last,
            lines=lines,
        )
        assert events < last, stream
        context.streams.append(stream)


async def take_up(context, process):
    """Take all streams up at a gateway."""
    for stream in context.streams:
        lines = (f"Last-Event-Id: {stream.events}", f"Resumes: {stream.first}")
        stream.reply = await context.rig.call_process(
            process,
            context.path,
            name=stream.second,
            lines=(*stream.lines, *lines),
            deadline_ms=DEADLINE_MS,
        )


async def kill(processes):
    """Kill processes at the same time."""
    for process in processes:
        process.send_signal(signal.SIGKILL)
    for process in processes:
        await process.process.wait()


async def start_all(rig):
    """Start all processes again and wait until they are ready."""
    for process in rig.processes:
        await process.start()
    for process in rig.processes:
        await rig.wait_until_ready(process)


@when(
    "{count:d} streams begin at one gateway and their callers take them up at {gateway}"
)
def take_up_at(context, count, gateway):
    rig = context.rig

    async def run_step():
        await begin_streams(context, count)
        if "died" in gateway:
            await asyncio.sleep(TELLING_SECONDS)
            await kill(rig.processes[:1])
        process = rig.processes[0 if gateway == "the same one" else 1]
        await take_up(context, process)

    rig.run(run_step())


@when(
    "{count:d} streams begin at one gateway and their callers take them up after "
    "{event}"
)
def take_up_after(context, count, event):
    rig = context.rig
    left = [name for text in re.findall('"(.*?)"', event) for name in text.split()]

    async def run_step():
        await begin_streams(context, count)
        if "unnoticed" in event:
            await kill(rig.processes)
        for name in left:
            rig.publish(
                name, state="draining", version=context.versions.pop(name), **service
            )
            rig.store.remove(f"servers/{name}")
        if "unnoticed" not in event:
            await asyncio.sleep(0.5)
            await kill(rig.processes)
        await start_all(rig)
        await take_up(context, rig.processes[1])

    service = {"service": "model" if rig.servers["s-1"].engine else "plain"}
    context.all_versions = dict(context.versions)
    rig.run(run_step())


@then("each goes on at the software version that began it")
def check_each_goes_on(context):
    for stream in context.streams:
        assert stream.goes_on(), stream
        check_not_joined(context, stream)


def check_not_joined(context, stream, versions=None):
    """Check that all endpoints that a stream has reached have the same version."""
    versions = versions or context.versions
    reached = [
        name
        for request_id in (stream.first, stream.second)
        for name in servers_reached(context.rig, request_id)
    ]
    assert len({versions[name] for name in reached}) == 1, (stream, reached)


@then("no stream goes on, and each caller gets 503 with Retry-After")
def check_refused(context):
    for stream in context.streams:
        assert stream.reply.status == 503, stream
        assert float(stream.reply.headers["retry-after"]) > 0, stream
        assert not servers_reached(context.rig, stream.second), stream


@then(
    "each goes on at the software version that began it, if one of its endpoints is "
    "left"
)
def check_left_goes_on(context):
    left = set(context.versions.values())
    for stream in context.streams:
        check_not_joined(context, stream, context.all_versions)
        (began,) = servers_reached(context.rig, stream.first)
        if context.all_versions[began] in left:
            assert stream.goes_on(), stream
        else:
            assert stream.reply.status == 503, stream


@given('the servers "{names}" of another service, between which the route is split')
def split_route(context, names):
    rig = context.rig
    context.services = dict.fromkeys(context.versions, "plain")
    for name, version in (one.split("=") for one in names.split()):
        context.services[name] = "other"
        context.versions[name] = version
        rig.run(rig.add_server(name, service="other", version=version))
    resume = route("resume", "streaming", attempts=2, resumable=True)
    del resume["service"]
    resume["split"] = [
        {"service": "plain", "weight": 50},
        {"service": "other", "weight": 50},
    ]
    rig.store.put("op/config", configuration(9, routes=[resume]))


@then("each goes on at the service that began it")
def check_same_service(context):
    for stream in context.streams:
        assert stream.goes_on(), stream
        check_not_joined(context, stream, context.services)


@given("{count:d} connected gateway processes, which know the versions of the last 2 s")
def start_processes_with_history(context, count):
    rig = context.rig
    # Versions are looked up for twice the route's timeout.
    resume = route("resume", "streaming", attempts=2, resumable=True, timeout_ms=1000)
    rig.store.put("op/config", configuration(9, routes=[resume]))
    start_connected_processes(context, count)
    rig.run(asyncio.sleep(2))


@when('the second gateway stands still for {seconds:d} s while "{names}" join')
def stand_still(context, seconds, names):
    rig = context.rig
    joining = dict(name.split("=") for name in names.split())
    context.versions |= joining

    async def run_step():
        rig.processes[1].send_signal(signal.SIGSTOP)
        # A busy store answers the watch of the process that stands still at once.
        rig.publish("s-1", version=context.versions["s-1"], sequence=2)
        await asyncio.sleep(TELLING_SECONDS)
        for name, version in joining.items():
            await rig.add_server(name, version=version)
        for name, version in joining.items():
            endpoint = f"{name}@1000"
            await rig.wait_until_logged(
                rig.processes[0], "endpoint-listed", endpoint=endpoint, version=version
            )
        await asyncio.sleep(seconds)

    rig.run(run_step())


@when(
    "{count:d} streams that began meanwhile at the first one are taken up at it, {when}"
)
def take_up_at_woken(context, count, when):
    rig = context.rig

    async def run_step():
        await begin_streams(context, count)
        if "died" in when:
            await kill(rig.processes[:1])
        # The callers' requests wait already when the process goes on.
        taking_up = asyncio.create_task(take_up(context, rig.processes[1]))
        await asyncio.sleep(TELLING_SECONDS)
        rig.processes[1].send_signal(signal.SIGCONT)
        await taking_up

    rig.run(run_step())


@then("none is joined of two software versions")
def check_none_joined(context):
    began = set()
    for stream in context.streams:
        check_not_joined(context, stream)
        assert stream.goes_on() or stream.reply.status == 503, stream
        began |= servers_reached(context.rig, stream.first)
    assert "v1.1" in {context.versions[name] for name in began}, began
