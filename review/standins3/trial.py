"""Frame of a case: record, exit code, and the end of all processes."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

FAILED, HELD, COULD_NOT_RUN = 1, 0, 2

HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Trial:
    """What a case records, and what it has to end."""

    def __init__(self, folder: Path):
        self.began = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.gateways: list = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.temporary.name)

    def record(self, text: str) -> None:
        """Write a line with the time since the start."""
        after = time.monotonic() - self.began
        self.record_file.write(f"{after:8.3f} {text}\n")
        self.record_file.flush()

    def say(self, text: str) -> None:
        """Record a line and print it."""
        self.record(text)
        print(text, flush=True)


def run(folder: Path, play) -> None:
    """Run a case, and exit with its result."""
    trial = Trial(folder)

    async def whole() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                return await play(trial)
        except Exception:
            trial.record(traceback.format_exc())
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            for one in trial.gateways:
                await one.end(signal.SIGKILL)

    code = asyncio.run(whole())
    if os.environ.get("KEEP"):
        shutil.copytree(trial.path, os.environ["KEEP"], dirs_exist_ok=True)
    trial.temporary.cleanup()
    trial.say(f"exit {code}")
    sys.exit(code)


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration document."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def plain_service(name: str) -> dict:
    """Return a service of plain servers."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }
