"""Starts gateways with the command of the deploy file, and ends them."""

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [{metrics},{metrics}]
seeds = [{seeds}]
first_start = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",
"tenants","platform"]
[zones]
a = "r"
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
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_extension_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = {retry_slack}
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
[platform]
address = "127.0.0.1:{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, folder: Path, *, store: int, retry_slack: int = 56):
        self.name = name
        self.folder = folder
        self.store = store
        self.retry_slack = retry_slack
        self.seeds: list[int] = []
        self.callers, self.ready = free_port(), free_port()
        self.peers, self.metrics = free_port(), free_port()
        self.process = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.toml"
        ports = ("callers", "ready", "peers", "metrics", "store", "retry_slack")
        values = {port: getattr(self, port) for port in ports}
        seeds = ",".join(f'"{LOOPBACK}:{port}"' for port in self.seeds)
        path.write_text(SETTINGS.format(name=self.name, seeds=seeds, **values))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ZINNIARAMP_NODE_FILE": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Ask /readyz once, as the platform does each second."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait until the process is ready."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal, and SIGKILL after `grace_s`; wait until the process ends."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(8):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
