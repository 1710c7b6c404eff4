"""A machine that starts clean has only what the build of the deploy file installs.

The gateway is started with a Python that has no other libraries.  Seen: it ends with
exit code 1 before it listens, at each start, because it imports a library that
``deploy/requirements.txt`` doesn't name.  With ``TROUBLE=0`` the machine has one that
somebody installed by hand (a small replacement), and all is well.
"""

import asyncio
import os
import re
import sys
import tempfile
import venv
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.clients import LEDGER, make_configuration, make_entry, make_request
from standins2.engine import Engine
from standins2.fallback import REPLACEMENT
from standins2.gateway import DEPENDENCIES, Gateway
from standins2.store import Store
from standins2.wire import read_message

LOOPBACK = "127.0.0.1"

GATEWAYS = 5
"""Machines of the installation."""

STARTS = 3
"""Starts of each process: one that ends is started again after a short delay."""

READY_SECONDS = 15
RESTART_SECONDS = 1.0


async def send(port: int, name: str) -> int | None:
    """Send one request, and return the status of its answer; None without one."""
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(make_request("GET", "/look/x", name, 3000))
        answer = await read_message(reader)
        writer.close()
    except ConnectionError:
        return None
    return answer and answer.status


async def play_gateway(gateway: Gateway, lines: list[str]) -> tuple[int, int]:
    """Start a gateway, again if it ends; return its own ends and requests served."""
    ends = 0
    for start in range(1, STARTS + 1):
        await gateway.start()
        if await gateway.wait_ready(READY_SECONDS):
            break
        code = gateway.process.returncode
        lines.append(f"{gateway.name}: start {start} ended by itself, exit code {code}")
        ends += code is not None
        await gateway.end()
        await asyncio.sleep(RESTART_SECONDS)
    status = await send(gateway.callers, f"{gateway.name}.1")
    lines.append(f"{gateway.name}: a request is answered {status}")
    return ends, status == 200


async def main() -> int:
    """Play the case, write the record, and return the exit code."""
    if not DEPENDENCIES.is_dir():
        print("the build of the deploy file has not run")
        return 2
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lines: list[str] = []
    with tempfile.TemporaryDirectory(prefix="review-7-") as name:
        directory = Path(name)
        venv.create(directory / "clean", with_pip=False, symlinks=True)
        store = Store()
        await store.start()
        engine = Engine(id="i-1", prefill_seconds=0.27, record=lines.append)
        await engine.start()
        store.put("op/config", make_configuration())
        store.put(f"servers/{engine.id}", make_entry(engine, LEDGER))
        gateways = [
            Gateway(
                name=f"edge-{number}",
                directory=directory,
                store=store.port,
                path=f"{directory / 'clean' / 'bin'}:{os.environ['PATH']}",
                libraries=() if has_trouble else (REPLACEMENT,),
            )
            for number in range(GATEWAYS)
        ]
        for gateway in gateways:
            gateway.write_settings([])
        try:
            played = await asyncio.gather(*(play_gateway(g, lines) for g in gateways))
        finally:
            await asyncio.gather(*(gateway.end() for gateway in gateways))
        errors = re.findall(
            r"^\w*Error: .*$", gateways[0].output.read_text(), re.MULTILINE
        )
    ended = sum(ends >= STARTS for ends, _ in played)
    served = sum(is_served for _, is_served in played)
    lines.append(f"error that ended edge-0: {errors[-1] if errors else 'none'}")
    lines.append(f"{ended} of {GATEWAYS} processes ended by themselves {STARTS} times")
    lines.append(f"{served} of {GATEWAYS} requests were served")
    Path(__file__).with_name("record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-3:]))
    return 1 if ended or not served else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
