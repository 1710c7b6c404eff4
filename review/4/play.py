"""A stream in the middle of its answer gets a second HTTP head.

Three model servers crash, one after the other, under requests that share a part of
their prompts.  Then the server of another stream with this part falls silent.
"""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.trial import LIMITS, Trial, engine_service, main  # noqa: E402

HOST = "desk.example"
KEY = "key-of-the-desk"
SHARED = "5c1e07a2:800"
"""Part of the prompt that all requests of the desk share."""

CRASHES = 5
"""A gateway takes three of them, at the least, for crashes under one prompt part."""

SPARES = [f"draft-{number}" for number in range(1, 7)]


def _route(name: str, service: str, *, resumable: bool) -> dict:
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_type": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": service,
        "max_attempts": 2 if resumable else 1,
        "public": False,
        "sticky": True,
        "resumable": resumable,
        "target_gap_ms": 250,
    }


def _publish(trial: Trial) -> None:
    trial.store.put(
        "op/config",
        {
            "version": 7,
            "routes": [
                _route("ask", "talk", resumable=True),
                _route("draft", "draft", resumable=False),
            ],
            "services": [engine_service("talk"), engine_service("draft")],
            "limits": LIMITS,
            "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 0}],
        },
    )


def _headers(own: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Zinniaramp-Model": "m",
        "Zinniaramp-Token-Usage": "1000,200",
        "Zinniaramp-Prefix-Hash": f"{SHARED},{own}:200",
    }


async def _crash_one(trial: Trial, number: int) -> bool:
    """Send a request, and let the server that runs it crash after 0.1 s.

    Returns whether the request has run.
    """
    request = f"draft{number:011d}"
    sending = asyncio.create_task(
        trial.send(
            "entry-1",
            request,
            "/draft/events-40-200",
            headers=_headers(f"d{number:07d}"),
            deadline_ms=15000,
            body=f"draft {number}".encode(),
        )
    )
    while not any(run["request"] == request for run in trial.runs):
        if sending.done():
            return False
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    if trial.is_troubled:
        run = next(run for run in trial.runs if run["request"] == request)
        trial.signal_server(run["server"], signal.SIGTERM)
        await asyncio.wait([sending])
        await asyncio.sleep(0.5)
        await trial.start_server(f"draft-{6 + number}", "draft")
    else:
        sending.cancel()
        await asyncio.wait([sending])
        await asyncio.sleep(0.5)
    return True


async def play(trial: Trial) -> int:
    """Play the case and return the exit code."""
    await trial.start_store()
    for name in ("talk-1", "talk-2"):
        await trial.start_server(name, "talk")
    for name in SPARES:
        await trial.start_server(name, "draft")
    _publish(trial)
    await trial.start_gateway("entry-1")
    await trial.wait_ready("entry-1")
    stream = asyncio.create_task(
        trial.send(
            "entry-1",
            "ask0000000000001",
            "/ask/events-57-220",
            headers=_headers("e4402b7d"),
            deadline_ms=15000,
            body=b"the question",
        )
    )
    await asyncio.sleep(1.0)
    for number in range(1, CRASHES + 1):
        if not await _crash_one(trial, number):
            break
        await asyncio.sleep(0.5)
    server = next(r["server"] for r in trial.runs if r["request"].startswith("ask"))
    if trial.is_troubled:
        trial.signal_server(server, signal.SIGSTOP)
    answer = await stream
    if trial.is_troubled:
        trial.signal_server(server, signal.SIGCONT)
    return _judge(trial, answer)


def _judge(trial: Trial, answer) -> int:
    body, is_whole, foreign = answer.read_body()
    for line in trial.gateway_log("entry-1", "segment-quarantined", "engine-crashed"):
        trial.record("log of entry-1", **line)
    pieces = body.count(b"\n\n")
    trial.record("judged", pieces=pieces, whole=is_whole, foreign=foreign.decode())
    if answer.status != 200 or not pieces:
        print("the stream did not begin")
        return 2
    print(f"status {answer.status}, {pieces} pieces, whole: {is_whole}")
    print(f"bytes that are no part of the answer: {foreign[:120]!r}")
    return 1 if foreign else 0


if __name__ == "__main__":
    main(HERE, play)
