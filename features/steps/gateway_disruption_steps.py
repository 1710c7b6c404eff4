"""Steps about gateways that are frozen, killed, signalled or cut."""

import asyncio
import signal
import time
from datetime import UTC, datetime, timedelta
from unittest import mock

from behave import given, then, when

from features.gateway.rig import KEY, configuration, read_reply, request
from zinniaramp.peers.messages import Hello, SendStarted, encode
from zinniaramp.placement import PromptSegment
from zinniaramp.placement.split import SplitSizer
from zinniaramp.standins.platform import expected_body

SHARED_TOKENS = 6_400
START = datetime(2026, 1, 1, tzinfo=UTC)
OWN_TOKENS = 32
CLOCK_STEPS = (2400.0, -2400.0, 0.0)
PEER_SENDS = 5


@given("a gateway process that is ready")
def process_ready(context):
    processes_ready(context, 1)


@given("{count:d} gateway processes that are ready")
def processes_ready(context, count):
    rig = context.rig

    async def start():
        await rig.add_process(context.directory, count=count)
        for process in rig.processes:
            await until_known(rig, process)

    rig.run(start())


async def until_known(rig, process):
    """Wait until a process is ready and knows the servers and what they keep."""
    await rig.until_ready(process)
    for name, server in rig.servers.items():
        incarnation = f"{name}@1000"
        await rig.until_logged(process, "endpoint-listed", endpoint=incarnation)
        if server.engine is not None:
            await rig.until_logged(process, "holdings-read", endpoint=incarnation)


@given('the model servers "{names}" with {slots:d} slots')
def model_servers(context, names, slots):
    for name in names.split():
        context.rig.run(context.rig.add_model_server(name, slots=slots))


@given('the model server "{name}" with {slots:d} slot, whose engine stands still')
def still_model_server(context, name, slots):
    context.rig.run(context.rig.add_model_server(name, slots=slots, begin=False))


async def hold_call(context, *, name="held"):
    """Send a call that its server holds, and wait until it is there."""
    rig = context.rig
    process = rig.processes[0]
    context.name = name
    call = rig.call_process(process, "/read/x", name=name, deadline_ms=15_000)
    context.call = asyncio.create_task(call)
    await rig.wait_until(rig.arrivals)


@when("a request is under way, the settings change and SIGHUP is sent")
def hang_up(context):
    rig = context.rig

    async def play():
        await hold_call(context)
        change_settings(context)
        rig.processes[0].send_signal(signal.SIGHUP)

    rig.run(play())


@when("the settings change")
def change_settings(context):
    process = context.rig.processes[0]
    process.grace_s = 7
    process.write_settings()


@then("the log says that the settings changed")
def settings_logged(context):
    rig = context.rig
    rig.run(rig.until_logged(rig.processes[0], "settings-reloaded", changed=True))


@then("the request under way gets its whole answer")
def whole_answer(context):
    rig = context.rig
    for server in rig.servers.values():
        server.released.set()
        server.conducts.clear()

    async def finish():
        return await context.call

    reply = rig.run(finish())
    assert reply.status == 200, reply
    assert reply.body == expected_body(context.name), reply


@when(
    "it is frozen while a request is under way, and version {version:d} takes "
    '"{key}" away and "{name}" leaves'
)
def frozen(context, version, key, name):
    rig = context.rig

    async def play():
        await hold_call(context)
        rig.processes[0].send_signal(signal.SIGSTOP)
        rig.store.put("op/config", configuration(version, keys=["other-key"]))
        rig.publish(name, state="draining")

    assert key == KEY
    rig.run(play())


@when("it wakes")
def wakes(context):
    rig = context.rig
    process = rig.processes[0]

    async def wake():
        process.send_signal(signal.SIGCONT)
        await rig.until_logged(process, "configuration-in-force", version=9)
        await rig.until_logged(process, "endpoint-listed", state="leaving")

    rig.run(wake())


@then(
    'the key "{key}" gets 401, and {count:d} calls with "{other}" do not reach "{name}"'
)
def handled_as_new(context, key, count, other, name):
    rig = context.rig
    process = rig.processes[0]
    before = len(rig.servers[name].arrivals)
    reply = rig.run(rig.call_process(process, "/read/x", name="old", key=key))
    assert reply.status == 401, reply
    for number in range(count):
        call = rig.call_process(process, "/read/x", name=f"new-{number}", key=other)
        assert rig.run(call).status == 200
    assert len(rig.servers[name].arrivals) == before


@when("the time of day jumps by 2400 s and back while calls are under way")
def clock_jumps(context):
    rig = context.rig
    context.name = "held"

    async def play():
        call = rig.call("/read/x", name="held", deadline_ms=15_000)
        context.call = asyncio.create_task(call)
        await rig.wait_until(rig.arrivals)
        context.short = []
        clock = rig.daemons[0].clock
        context.readings = [clock()]
        for step in CLOCK_STEPS:
            with mock.patch("time.time", _stepped(step)):
                began = time.monotonic()
                name = f"short{step}"
                reply = await rig.call("/book/x", name=name, deadline_ms=300)
                context.short.append((reply.status, time.monotonic() - began))
                context.readings.append(clock())

    rig.run(play())


def _stepped(step):
    true_time = time.time
    return lambda: true_time() + step


@then("a call with 300 ms left ended after that time, and no other did")
def ended_in_time(context):
    # No upper bound: that the calls came back at all is bounded by the rig.
    for status, seconds in context.short:
        assert status == 504, context.short
        assert seconds >= 0.29, context.short
    assert not context.call.done()


@then("the gateway's clock has gone on by less than a minute")
def clock_goes_on(context):
    readings = context.readings
    assert readings == sorted(readings), readings
    assert readings[-1] - readings[0] < timedelta(minutes=1), readings


@when("all are killed at once and start again while the store refuses them")
def killed_at_once(context):
    rig = context.rig

    async def restart():
        rig.store.refuses = True
        rig.store.wake()
        for process in rig.processes:
            process.send_signal(signal.SIGKILL)
        for process in rig.processes:
            await process.process.wait()
            await process.start()
        for process in rig.processes:
            await rig.until_ready(process, status=503)

    rig.run(restart())


@then("each answers 503 with a time to come back, and is not ready")
def each_refuses(context):
    rig = context.rig
    for process in rig.processes:
        reply = rig.run(rig.call_process(process, "/read/x"))
        assert reply.status == 503, reply
        assert float(reply.headers["retry-after"]) > 0
        assert rig.run(rig.process_status(process)) == 503
    assert not rig.arrivals()


@when("the store is back")
def store_back(context):
    context.rig.store.refuses = False


@then("each is ready and serves")
def each_serves(context):
    rig = context.rig
    for number, process in enumerate(rig.processes):
        rig.run(until_known(rig, process))
        call = rig.call_process(process, "/read/x", name=f"after-{number}")
        assert rig.run(call).status == 200


@when("a peer says that it sends {count:d} prompts, and falls silent")
def peer_falls_silent(context, count):
    rig = context.rig
    engine = rig.daemons[0].registry.ready("model")[0].incarnation
    part = PromptSegment(name="part", tokens=500)
    sends = [
        SendStarted(
            number=number,
            engine=engine,
            prompt_tokens=500,
            output_estimate=10,
            parts=(part,),
            max_consecutive_chunks=None,
        )
        for number in range(count)
    ]

    async def speak():
        address = rig.daemons[0].settings.peers
        _, context.peer = await rig.connect(address=address)
        # Port 9 discards; nobody listens there.
        context.peer.write(encode(Hello(address="127.0.0.1:9", known_peers=())))
        context.peer.write(b"".join(encode(one) for one in sends))

    rig.run(speak())


def placed(context):
    return context.rig.daemons[0].gateway.pool.placement.engine_by_send


@then("the gateway counts them")
def counts_them(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: len(placed(context)) == PEER_SENDS))


@then("it forgets them after the silence")
def forgets_them(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: not placed(context)))
    assert rig.logged_events("peer-gone")
    context.peer.close()


def prompt_lines(own, *, shared):
    """Return the headers of a prompt of a shared part and one of its own."""
    tokens = SHARED_TOKENS + OWN_TOKENS
    parts = f"{shared}:{SHARED_TOKENS},{own}:{OWN_TOKENS}"
    return (
        "Zinniaramp-Model: m",
        f"Zinniaramp-Token-Usage: {tokens},20",
        f"Zinniaramp-Prefix-Hash: {parts}",
    )


@given("each model server for long prompts keeps a part of its own")
def keeps_own_part(context):
    rig = context.rig
    engines = {f"{name}@1000": name for name, one in rig.servers.items() if one.engine}
    long = SplitSizer().split(list(engines), START).long
    context.keepers = [engines[one] for one in long]

    async def read_parts():
        for name in context.keepers:
            engine = rig.servers[name].engine
            part = PromptSegment(name=f"part-of-{name}", tokens=SHARED_TOKENS)
            taken = engine.take(
                request_id="before", urgency=None, parts=[part], events=["only"]
            )
            await taken.answer.get()

    rig.run(read_parts())


@when("a prompt with each of the parts is sent")
def prompts_sent(context):
    rig = context.rig
    context.sent = {}
    for name in context.keepers:
        prompt = f"prompt-{len(rig.arrivals())}"
        context.sent[prompt] = name
        lines = prompt_lines(prompt, shared=f"part-of-{name}")
        call = rig.call_process(rig.processes[0], "/ask/x", name=prompt, lines=lines)
        reply = rig.run(call)
        assert reply.status == 200, reply


@then("each went to the model server that keeps its part")
def went_to_keeper(context):
    for prompt, name in context.sent.items():
        arrivals = context.rig.servers[name].arrivals
        names = [one.headers["Zinniaramp-Request-Id"] for one in arrivals]
        assert prompt in names, (prompt, name, names)


@when("the process is killed and starts again")
def killed_and_started(context):
    rig = context.rig
    process = rig.processes[0]

    async def restart():
        await process.end(signal.SIGKILL)
        process.log_path.unlink()
        await process.start()
        await until_known(rig, process)

    rig.run(restart())


@when("a prompt of a less urgent route waits there, and then one of a more urgent")
def prompts_wait(context):
    rig = context.rig
    context.order = []

    async def call(path, name):
        reader, writer = await rig.connect()
        writer.write(request(path, name=name, lines=prompt_lines(name, shared=name)))
        count = len(rig.arrivals())
        await rig.wait_until(lambda: len(rig.arrivals()) > count)
        return asyncio.create_task(finish(name, reader, writer))

    async def finish(name, reader, writer):
        reply = await read_reply(reader, on_head=lambda: context.order.append(name))
        writer.close()
        return reply

    async def play():
        context.calls = [await call("/sum/x", "less"), await call("/ask/x", "more")]

    rig.run(play())


@when("the engine begins")
def engine_begins(context):
    rig = context.rig

    async def play():
        rig.begin("m-1")
        replies = await asyncio.gather(*context.calls)
        assert all(reply.status == 200 for reply in replies), replies

    rig.run(play())


@then("the more urgent one had its first event before the other")
def more_urgent_first(context):
    assert context.order == ["more", "less"], context.order
