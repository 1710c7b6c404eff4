"""Steps for gateways that are suspended, killed, signalled or lose connections."""

import asyncio
import signal
import time
from datetime import UTC, datetime, timedelta
from unittest import mock

from behave import given, then, when

from features.gateway.configurations import configuration
from features.gateway.exchanges import API_KEY, read_reply, request
from zinniaramp.peers.codec import encode
from zinniaramp.peers.messages import Hello, SendStarted
from zinniaramp.placement import PromptSegment
from zinniaramp.placement.split import SplitSizer
from zinniaramp.standins.platform import expected_body

SHARED_TOKENS = 6_400
SPLIT_TIME = datetime(2026, 1, 1, tzinfo=UTC)
OWN_TOKENS = 32
CLOCK_JUMPS = (2400.0, -2400.0, 0.0)
PEER_SENDS = 5


@given("a gateway process that is ready")
def start_process(context):
    start_processes(context, 1)


@given("{count:d} gateway processes that are ready")
def start_processes(context, count):
    rig = context.rig

    async def start():
        await rig.add_processes(context.directory, count=count)
        for process in rig.processes:
            await wait_until_initialized(rig, process)

    rig.run(start())


async def wait_until_initialized(rig, process):
    """Wait until a process is ready and has read the state of all servers."""
    await rig.wait_until_ready(process)
    for name, server in rig.servers.items():
        incarnation = f"{name}@1000"
        await rig.wait_until_logged(process, "endpoint-listed", endpoint=incarnation)
        if server.engine is not None:
            await rig.wait_until_logged(process, "holdings-read", endpoint=incarnation)


@given('the model servers "{names}" with {slots:d} slots')
def start_model_servers(context, names, slots):
    for name in names.split():
        context.rig.run(context.rig.add_model_server(name, slots=slots))


@given(
    'the model server "{name}" with {slots:d} slot and an engine that is not started'
)
def start_model_server_without_engine(context, name, slots):
    context.rig.run(context.rig.add_model_server(name, slots=slots, start_engine=False))


async def start_held_call(context, *, name="held"):
    """Send a request that the server does not answer yet and wait until it arrives."""
    rig = context.rig
    process = rig.processes[0]
    context.name = name
    call = rig.call_process(process, "/read/x", name=name, deadline_ms=15_000)
    context.call = asyncio.create_task(call)
    await rig.wait_until(rig.arrivals)


@when("the settings change and SIGHUP is sent while a request is in flight")
def change_settings_and_signal(context):
    rig = context.rig

    async def run_step():
        await start_held_call(context)
        change_settings(context)
        rig.processes[0].send_signal(signal.SIGHUP)

    rig.run(run_step())


@when("the settings change")
def change_settings(context):
    process = context.rig.processes[0]
    process.grace_s = 7
    process.write_settings()


@then("the log reports that the settings changed")
def check_settings_logged(context):
    rig = context.rig
    rig.run(rig.wait_until_logged(rig.processes[0], "settings-reloaded", changed=True))


@then("the request in flight gets its complete answer")
def check_complete_answer(context):
    rig = context.rig
    for server in rig.servers.values():
        server.released.set()
        server.behaviours.clear()

    async def finish():
        return await context.call

    reply = rig.run(finish())
    assert reply.status == 200, reply
    assert reply.body == expected_body(context.name), reply


@when(
    "it is suspended with a request in flight, and version {version:d} removes "
    '"{key}" and "{name}" drains'
)
def frozen(context, version, key, name):
    rig = context.rig

    async def run_step():
        await start_held_call(context)
        rig.processes[0].send_signal(signal.SIGSTOP)
        rig.store.put("op/config", configuration(version, keys=["other-key"]))
        rig.publish(name, state="draining")

    assert key == API_KEY
    rig.run(run_step())


@when("it is resumed")
def resume_process(context):
    rig = context.rig
    process = rig.processes[0]

    async def resume():
        process.send_signal(signal.SIGCONT)
        await rig.wait_until_logged(process, "configuration-in-force", version=9)
        await rig.wait_until_logged(process, "endpoint-listed", state="leaving")

    rig.run(resume())


@then(
    'a request with "{key}" gets 401, and {count:d} requests with "{other}" '
    'do not reach "{name}"'
)
def check_changes_applied(context, key, count, other, name):
    rig = context.rig
    process = rig.processes[0]
    before = len(rig.servers[name].arrivals)
    reply = rig.run(rig.call_process(process, "/read/x", name="old", key=key))
    assert reply.status == 401, reply
    for number in range(count):
        call = rig.call_process(process, "/read/x", name=f"new-{number}", key=other)
        assert rig.run(call).status == 200
    assert len(rig.servers[name].arrivals) == before


@when("the wall clock jumps by 2400 s and back while requests are in flight")
def jump_wall_clock(context):
    rig = context.rig
    context.name = "held"

    async def run_step():
        call = rig.call("/read/x", name="held", deadline_ms=15_000)
        context.call = asyncio.create_task(call)
        await rig.wait_until(rig.arrivals)
        context.short_calls = []
        clock = rig.daemons[0].clock
        context.clock_times = [clock()]
        for jump in CLOCK_JUMPS:
            with mock.patch("time.time", _shifted_time(jump)):
                started_at = time.monotonic()
                name = f"short{jump}"
                reply = await rig.call("/book/x", name=name, deadline_ms=300)
                context.short_calls.append(
                    (reply.status, time.monotonic() - started_at)
                )
                context.clock_times.append(clock())

    rig.run(run_step())


def _shifted_time(jump):
    true_time = time.time
    return lambda: true_time() + jump


@then("only the requests with a deadline of 300 ms ended, none of them early")
def check_short_calls_ended(context):
    # There is no upper bound here; the rig has a timeout for the whole step.
    for status, seconds in context.short_calls:
        assert status == 504, context.short_calls
        assert seconds >= 0.29, context.short_calls
    assert not context.call.done()


@then("the gateway's clock has advanced by less than a minute")
def check_clock_advance(context):
    clock_times = context.clock_times
    assert clock_times == sorted(clock_times), clock_times
    assert clock_times[-1] - clock_times[0] < timedelta(minutes=1), clock_times


@when("all are killed at once and restart while the store refuses calls")
def kill_and_restart_all(context):
    rig = context.rig

    async def restart():
        rig.store.refuses = True
        rig.store.wake_watches()
        for process in rig.processes:
            process.send_signal(signal.SIGKILL)
        for process in rig.processes:
            await process.process.wait()
            await process.start()
        for process in rig.processes:
            await rig.wait_until_ready(process, status=503)

    rig.run(restart())


@then("each answers 503 with Retry-After and is not ready")
def check_each_unready(context):
    rig = context.rig
    for process in rig.processes:
        reply = rig.run(rig.call_process(process, "/read/x"))
        assert reply.status == 503, reply
        assert float(reply.headers["retry-after"]) > 0
        assert rig.run(rig.process_readiness_status(process)) == 503
    assert not rig.arrivals()


@when("the store recovers")
def recover_store(context):
    context.rig.store.refuses = False


@then("each is ready and answers requests")
def check_each_answers(context):
    rig = context.rig
    for number, process in enumerate(rig.processes):
        rig.run(wait_until_initialized(rig, process))
        call = rig.call_process(process, "/read/x", name=f"after-{number}")
        assert rig.run(call).status == 200


@when("a peer reports {count:d} sends and then sends no more messages")
def send_peer_load(context, count):
    rig = context.rig
    engine = rig.daemons[0].registry.ready("model")[0].incarnation
    segment = PromptSegment(name="part", tokens=500)
    sends = [
        SendStarted(
            number=number,
            engine=engine,
            prompt_tokens=500,
            output_estimate=10,
            parts=(segment,),
            target=timedelta(),
            gap_target=timedelta(),
        )
        for number in range(count)
    ]

    async def send_messages():
        address = rig.daemons[0].settings.peers
        _, context.peer = await rig.connect(address=address)
        # Nothing listens on port 9, so the gateway can't connect back.
        hello = Hello(address="127.0.0.1:9", data_center="a", known_peers=())
        context.peer.write(encode(hello))
        context.peer.write(b"".join(encode(one) for one in sends))

    rig.run(send_messages())


def placed_sends(context):
    return context.rig.daemons[0].gateway.pool.placement.engine_by_send


@then("the gateway includes them in its load")
def check_peer_sends_included(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: len(placed_sends(context)) == PEER_SENDS))


@then("it discards them after the timeout")
def check_peer_sends_discarded(context):
    rig = context.rig
    rig.run(rig.wait_until(lambda: not placed_sends(context)))
    assert rig.logged_events("peer-gone")
    context.peer.close()


def prompt_headers(own_segment, *, shared_segment):
    """Return headers of a prompt with a shared segment and one of its own."""
    tokens = SHARED_TOKENS + OWN_TOKENS
    parts = f"{shared_segment}:{SHARED_TOKENS},{own_segment}:{OWN_TOKENS}"
    return (
        "Zinniaramp-Model: m",
        f"Zinniaramp-Token-Usage: {tokens},20",
        f"Zinniaramp-Prefix-Hash: {parts}",
    )


@given("each model server for long prompts has cached a segment of its own")
def cache_own_segments(context):
    rig = context.rig
    engines = {f"{name}@1000": name for name, one in rig.servers.items() if one.engine}
    long_prompt_engines = SplitSizer().split(list(engines), SPLIT_TIME).long
    context.caching_servers = [engines[one] for one in long_prompt_engines]

    async def prefill_segments():
        for name in context.caching_servers:
            engine = rig.servers[name].engine
            segment = PromptSegment(name=f"part-of-{name}", tokens=SHARED_TOKENS)
            taken = engine.submit(
                request_id="before", urgency=None, parts=[segment], events=["only"]
            )
            await taken.answer.get()

    rig.run(prefill_segments())


@when("one prompt with each of the segments is sent")
def send_prompts(context):
    rig = context.rig
    context.sent = {}
    for name in context.caching_servers:
        prompt = f"prompt-{len(rig.arrivals())}"
        context.sent[prompt] = name
        lines = prompt_headers(prompt, shared_segment=f"part-of-{name}")
        call = rig.call_process(rig.processes[0], "/ask/x", name=prompt, lines=lines)
        reply = rig.run(call)
        assert reply.status == 200, reply


@then("each reached the model server that has cached its segment")
def check_cached_servers_reached(context):
    for prompt, name in context.sent.items():
        arrivals = context.rig.servers[name].arrivals
        names = [one.headers["Zinniaramp-Request-Id"] for one in arrivals]
        assert prompt in names, (prompt, name, names)


@when("the process is killed and restarted")
def kill_and_restart(context):
    rig = context.rig
    process = rig.processes[0]

    async def restart():
        await process.end(signal.SIGKILL)
        process.log_path.unlink()
        await process.start()
        await wait_until_initialized(rig, process)

    rig.run(restart())


@when("a prompt of a less urgent route is queued and then one of a more urgent")
def queue_prompts(context):
    rig = context.rig
    context.order = []

    async def start_call(path, name):
        reader, writer = await rig.connect()
        writer.write(
            request(path, name=name, lines=prompt_headers(name, shared_segment=name))
        )
        count = len(rig.arrivals())
        await rig.wait_until(lambda: len(rig.arrivals()) > count)
        return asyncio.create_task(finish(name, reader, writer))

    async def finish(name, reader, writer):
        reply = await read_reply(reader, on_headers=lambda: context.order.append(name))
        writer.close()
        return reply

    async def run_step():
        context.calls = [
            await start_call("/sum/x", "less"),
            await start_call("/ask/x", "more"),
        ]

    rig.run(run_step())


@when("the engine starts")
def start_engine(context):
    rig = context.rig

    async def run_step():
        rig.start_engine("m-1")
        replies = await asyncio.gather(*context.calls)
        assert all(reply.status == 200 for reply in replies), replies

    rig.run(run_step())


@then("the more urgent prompt gets its first event before the other")
def check_more_urgent_first(context):
    assert context.order == ["more", "less"], context.order
