"""Runs a gateway daemon as a separate process, connected to stand-ins on loopback."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from ..processes import free_port

__all__ = ["LOOPBACK", "GatewayProcess"]

LOOPBACK = "127.0.0.1"
"""IP address of all listeners."""

SETTINGS = """\
node_name = "{name}"
zone = "a"
ip = "127.0.0.1"
internal_ports = [{metrics}, {metrics}]
heartbeat_ms = 1200
seeds = [{seeds}]
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{peers}"
[platform]
address = "127.0.0.1:{store}"
history_s = 20
[bounds]
drain_ms = 2000
grace_s = {grace_s}
config_apply_ms = 2000
reuse_after_s = 2
retry_budget_ratio = 0.2
retry_budget_slack = 56
budget_window_s = 10
"""


@dataclass(slots=True, kw_only=True)
class GatewayProcess:
    """A gateway process and the ports on which it listens.

    Parameters
    ----------
    directory : Path
        Directory for its settings file and its log.
    name : str
        Name of its host.
    store : int
        Port of the store.
    seeds : tuple of int
        Ports on which other gateways listen for peers.
    grace_s : int
        Setting ``grace_s``: time between SIGTERM and SIGKILL, in seconds.
    limits : dict of int
        Fields of the table ``[limits]``; empty leaves the table out.
    command : tuple of str
        Program and arguments; by default the gateway with this Python.
    environment : dict of str
        Environment variables of the process, beside the path of its settings file.
    callers, ready, peers, metrics : int
        Ports for callers, for readiness checks, for peers and for metrics.
    process : asyncio.subprocess.Process or None
        The process; None before the first start.
    """

    directory: Path
    name: str
    store: int
    seeds: tuple[int, ...] = ()
    grace_s: int = 8
    limits: dict[str, int] = field(default_factory=dict)
    command: tuple[str, ...] = (sys.executable, "-m", "zinniaramp.daemon.gateway")
    environment: dict[str, str] = field(default_factory=lambda: dict(os.environ))
    callers: int = field(default_factory=free_port)
    ready: int = field(default_factory=free_port)
    peers: int = field(default_factory=free_port)
    metrics: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self.directory / f"{self.name}.toml"

    @property
    def log_path(self) -> Path:
        """Path of the log file, to which standard output is redirected."""
        return self.directory / f"{self.name}.log"

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            seeds=", ".join(f'"{LOOPBACK}:{port}"' for port in self.seeds),
            store=self.store,
            grace_s=self.grace_s,
            callers=self.callers,
            ready=self.ready,
            peers=self.peers,
            metrics=self.metrics,
        )
        if self.limits:
            text += "[limits]\n"
            text += "".join(
                f"{name} = {value}\n" for name, value in self.limits.items()
            )
        self.settings_path.write_text(text)

    async def start(self) -> None:
        """Start the process; the log of earlier runs is kept."""
        self.write_settings()
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                env={
                    **self.environment,
                    "ZINNIARAMP_NODE_FILE": str(self.settings_path),
                },
                stdout=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait until the process ends, and return its exit code."""
        self.send_signal(number)
        return await self.process.wait()
