"""Starts gateways with the command of the deploy file, and speaks to them."""

import asyncio
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

from .wire import read_message

__all__ = ["ROOT", "Gateway", "free_port"]

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""

LOOPBACK = "127.0.0.1"

DEPENDENCIES = ROOT / "target" / "deps"
"""Where the build of the deploy file installs libraries; it is on Python's path."""

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "kyushu-a"
region = "kyushu"
internal_ports = [{metrics},{metrics}]
seeds = [{seeds}]
first_start = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
kyushu-a = "kyushu"
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{peers}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
reuse_after_s = 2
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
[platform]
address = "127.0.0.1:{store}"
form = "read"
reads_per_s = 2000
history_s = 20
"""

FIRST_PORT, LAST_PORT = 20000, 32000
"""Ports below those that the kernel gives to outgoing connections.

None of these can then take a gateway's port while it is restarted."""

used_ports: set[int] = set()


def free_port() -> int:
    """Return a port of loopback that is free, and that no earlier call returned."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        used_ports.add(port)
        return port


class Gateway:
    """One gateway: its settings file, its ports and its process.

    Parameters
    ----------
    name : str
        Name of its machine.
    directory : Path
        Temporary directory for its settings and its output.
    store : int
        Port of the store.
    path : str, optional
        Value of ``PATH``; by default that of this process.
    libraries : sequence of Path
        Directories on Python's path beside those of the deploy file.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: Path,
        store: int,
        path: str | None = None,
        libraries: tuple[Path, ...] = (),
    ):
        self.name = name
        self.settings = directory / f"{name}.toml"
        self.output = directory / f"{name}.log"
        self.store = store
        self.path = path or os.environ["PATH"]
        self.libraries = libraries
        self.callers, self.ready, self.peers, self.metrics = (
            free_port() for _ in range(4)
        )
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, seeds: list[int]) -> None:
        """Write the settings file, in one step as the platform does."""
        text = SETTINGS.format(
            name=self.name,
            metrics=self.metrics,
            seeds=",".join(f'"{LOOPBACK}:{port}"' for port in seeds),
            callers=self.callers,
            ready=self.ready,
            peers=self.peers,
            store=self.store,
        )
        new = self.settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self.settings)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        libraries = [str(one) for one in (DEPENDENCIES, *self.libraries)]
        env = {
            "PATH": self.path,
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": os.pathsep.join(libraries),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ZINNIARAMP_NODE_FILE": str(self.settings),
        }
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    async def wait_ready(self, seconds: float) -> bool:
        """Ask for readiness as the platform does; False if it stays away."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end and self.process.returncode is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self) -> bool:
        """Return whether ``GET /readyz`` is answered 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
                request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                writer.write(request + b"Connection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it runs."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
