"""Run ``python -m zinniaramp.standins.platform``, an end-to-end demo of the gateway.

Starts the store and two servers in this process and a gateway daemon as a separate
process.  Sends a plain call, a call with a streamed answer and a call that the
server rejects, and prints the result of each.  Exits with 0 if every answer is as
expected and the gateway exits with 0.
"""

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from .behaviour import ServerBehaviour, expected_body, expected_events
from .process import GatewayProcess
from .server import ServerStandin
from .store import StoreStandin

HOST = "films.example"
KEY = "key-of-the-workshop"
SERVICE = "desk"

READY_SECONDS = 20
"""Longest wait until the gateway is ready, in seconds."""

POLL_SECONDS = 0.05
"""Interval between two readiness checks, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """One call and its expected answer.

    Parameters
    ----------
    title : str
        Name of the call in the output.
    method, path : str
        HTTP method and path.
    headers : dict of str
        Headers of this call only.
    status : int
        Expected status of the answer.
    body : bytes or None
        Expected body of the answer; None if the body is not checked.
    """

    title: str
    method: str
    path: str
    headers: dict[str, str]
    status: int
    body: bytes | None


def _route(name: str, kind: str) -> dict:
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 1,
    }


def _publish(store: StoreStandin, servers: list[ServerStandin]) -> None:
    kinds = {"read": "safe", "book": "unsafe", "tell": "streaming"}
    document = {
        "version": 1,
        "routes": [_route(name, kind) for name, kind in kinds.items()],
        "services": [{"name": SERVICE, "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "workshop", "api_keys": [KEY]}],
    }
    store.put("op/config", document)
    for server in servers:
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{server.port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        store.put(f"servers/{server.id}", entry)


def _calls() -> list[Call]:
    events = {"Accept": "text/event-stream"}
    return [
        Call(
            title="plain call",
            method="GET",
            path="/read/x",
            headers={},
            status=200,
            body=expected_body("call-1"),
        ),
        Call(
            title="stream",
            method="GET",
            path="/tell/x",
            headers=events,
            status=200,
            body=expected_events("call-2", 1, 4),
        ),
        Call(
            title="call that the server rejects",
            method="POST",
            path="/book/x",
            headers={},
            status=503,
            body=None,
        ),
    ]


async def _wait_until_ready(client: AsyncHTTPClient, port: int) -> None:
    async with asyncio.timeout(READY_SECONDS):
        while True:
            try:
                await client.fetch(f"http://127.0.0.1:{port}/readyz")
                return
            except (HTTPClientError, OSError):
                await asyncio.sleep(POLL_SECONDS)


async def _send(client: AsyncHTTPClient, port: int, call: Call, number: int) -> bool:
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Zinniaramp-Request-Id": f"call-{number}",
        "Zinniaramp-Deadline-Ms": "5000",
        **call.headers,
    }
    request = HTTPRequest(
        f"http://127.0.0.1:{port}{call.path}",
        method=call.method,
        headers=headers,
        body=b"" if call.method == "POST" else None,
    )
    response = await client.fetch(request, raise_error=False)
    is_expected = response.code == call.status and call.body in (None, response.body)
    wait = response.headers.get("Retry-After", "")
    suffix = f", retry after {wait} s" if wait else ""
    print(
        f"{call.title}: {response.code}{suffix}{'' if is_expected else ' (UNEXPECTED)'}"
    )
    return is_expected


async def run() -> int:
    """Run the demo and return the exit code."""
    store = StoreStandin()
    store.listen()
    servers = [ServerStandin(id="server-1"), ServerStandin(id="server-2")]
    for server in servers:
        server.listen()
    _publish(store, servers)
    client = AsyncHTTPClient()
    with tempfile.TemporaryDirectory(prefix="zinniaramp-platform-") as directory:
        gateway = GatewayProcess(
            directory=Path(directory), name="entry-1", store=store.port
        )
        await gateway.start()
        try:
            await _wait_until_ready(client, gateway.ready)
            results = []
            for number, call in enumerate(_calls(), start=1):
                if call.status == 503:
                    for server in servers:
                        server.behaviours.append(ServerBehaviour.SHED)
                results.append(await _send(client, gateway.callers, call, number))
        finally:
            code = await gateway.end()
        lines = len(gateway.log_path.read_text().splitlines())
    print(f"gateway exited with {code} after {lines} lines of log")
    return 0 if all(results) and code == 0 else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
