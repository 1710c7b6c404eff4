"""One run of a script: processes, record, and what the clients see."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .store import Store

__all__ = [
    "IP",
    "LIMITS",
    "ROOT",
    "Answer",
    "Channel",
    "Trial",
    "engine_service",
    "main",
]

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
"""``heartbeat_ms``; an entry is removed after three intervals of silence."""

UPLOAD_STEPS = 50
"""Steps in which a body leaves a client that takes some time."""

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15000,
}

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internal_ports = [{metrics},{metrics}]
seeds = [{seeds}]
first_start = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","platform"]
[zones]
zone-a = "region"
[listen]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{control}"
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
retry_budget_slack = 56
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


def engine_service(name: str) -> dict:
    """Return a model service as the operator writes it."""
    engine = {"kv_capacity_tokens": 600000, "slots": 64, "stride": 3}
    return {"name": name, "health_path": "/healthz", "engine": engine}


class Answer:
    """What one client attempt has got, byte for byte."""

    def __init__(self, request: str):
        self.request = request
        self.raw = b""
        self.is_closed = False
        self.sent_at = time.monotonic()
        self.ended_at: float | None = None

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there is none."""
        first = self.raw.split(b"\r\n", 1)[0].split(b" ")
        return int(first[1]) if len(first) > 1 and first[1].isdigit() else 0

    @property
    def head(self) -> bytes:
        """Status line and headers."""
        return self.raw.partition(b"\r\n\r\n")[0]

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""

    def read_body(self) -> tuple[bytes, bool, bytes]:
        """Return the body, whether it is whole, and bytes that are none of a body."""
        rest = self.raw.partition(b"\r\n\r\n")[2]
        if self.header("Transfer-Encoding") != "chunked":
            length = int(self.header("Content-Length") or "0")
            return rest[:length], len(rest) >= length, rest[length:]
        body = b""
        while b"\r\n" in rest:
            size, _, after = rest.partition(b"\r\n")
            try:
                count = int(size, 16)
            except ValueError:
                return body, False, rest
            if len(after) < count + 2:
                return body, False, b""
            if after[count : count + 2] != b"\r\n":
                return body, False, after
            body, rest = body + after[:count], after[count + 2 :]
            if count == 0:
                return body, True, rest
        return body, False, b""

    @property
    def is_over(self) -> bool:
        """Whether nothing more can belong to this answer."""
        if self.is_closed:
            return True
        if self.status >= 400 and not self.header("Content-Length"):
            # The answer ends with its channel.
            return False
        if b"\r\n\r\n" not in self.raw:
            return False
        _, is_whole, foreign = self.read_body()
        return is_whole or bool(foreign)


class Channel:
    """A client's channel to a gateway, on which it sends one request after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer


class Trial:
    """Processes and clients of one run; the record says what happened.

    Parameters
    ----------
    folder : Path
        Folder of the case, for ``record.txt``.
    """

    def __init__(self, folder: Path):
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.lines = (folder / "record.txt").open("w")
        self.store = Store()
        self.ports: dict[str, int] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.servers: dict[str, asyncio.subprocess.Process] = {}
        self.gateways: dict[str, asyncio.subprocess.Process] = {}
        self.entries: dict[str, dict] = {}
        self.silent: dict[str, float] = {}
        self.runs: list[dict] = []
        self.reports: list[dict] = []
        self.tasks: list[asyncio.Task] = []
        self.guards: list[socket.socket] = []

    def record(self, what: str, **values) -> None:
        """Write a line to the record."""
        at = round(time.monotonic() - self.began_at, 3)
        self.lines.write(json.dumps({"s": at, "what": what, **values}) + "\n")
        self.lines.flush()

    def port(self, name: str) -> int:
        """Return the free port that a listener of this run uses."""
        if name not in self.ports:
            with socket.socket() as probe:
                probe.bind((IP, 0))
                self.ports[name] = probe.getsockname()[1]
        return self.ports[name]

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.listen(IP, self.port("store"))
        self.tasks.append(asyncio.create_task(self._beat()))

    async def start_server(
        self, name: str, service: str, *, spoiled: float = 0.0, **fields
    ) -> None:
        """Start a server as a process, and write its entry once it listens."""
        script = ROOT / "review" / "standins" / "server.py"
        address = f"{IP}:{self.port(name)}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(script),
            name,
            address,
            str(spoiled),
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        self.servers[name] = process
        await process.stdout.readline()
        self.tasks.append(asyncio.create_task(self._read_server(process)))
        self.entries[name] = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
            **fields,
        }
        self.store.put(f"servers/{name}", self.entries[name])

    async def _read_server(self, process) -> None:
        while line := await process.stdout.readline():
            report = json.loads(line)
            (self.runs if report["what"] == "run" else self.reports).append(report)
            report = {name: one for name, one in report.items() if name != "at"}
            self.record("server " + report.pop("what"), **report)

    def signal_server(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a server; one that is killed or stopped is silent."""
        self.record("signal to server", server=name, signal=number.name)
        self.servers[name].send_signal(number)
        if number != signal.SIGCONT:
            self.silent[name] = time.monotonic()
        else:
            self.silent.pop(name, None)

    async def _beat(self) -> None:
        """Let the servers check in; remove the entries of the silent ones."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, entry in list(self.entries.items()):
                since = self.silent.get(name)
                if since is None:
                    entry["sequence"] += 1
                    self.store.put(f"servers/{name}", entry)
                elif time.monotonic() - since > 3 * HEARTBEAT_SECONDS:
                    del self.entries[name]
                    self.store.remove(f"servers/{name}")

    async def start_gateway(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        path = Path(self.directory.name) / f"{name}.toml"
        names = ("frontend", "ready", "control", "metrics")
        ports = {one: self.port(f"{name} {one}") for one in names}
        listed = ",".join(f'"{IP}:{self.port(f"{one} control")}"' for one in seeds)
        text = SETTINGS.format(
            name=name, seeds=listed, store=self.port("store"), **ports
        )
        path.write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self.directory.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ZINNIARAMP_NODE_FILE": str(path),
        }
        log = (Path(self.directory.name) / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.gateways[name] = process
        self.record("gateway starts", gateway=name)

    async def wait_ready(self, name: str, seconds: float = 20) -> None:
        """Wait until a gateway says that it is ready."""
        async with asyncio.timeout(seconds):
            while await self.ask_ready(name) != 200:
                await asyncio.sleep(0.1)

    async def ask_ready(self, name: str) -> int:
        """Return the status of ``GET /readyz``; 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(
                IP, self.port(f"{name} ready")
            )
            writer.write(
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            answer = await reader.read()
            writer.close()
            return int(answer.split(b" ")[1])
        except (OSError, IndexError):
            return 0

    async def send(
        self,
        gateway: str,
        request: str,
        path: str,
        *,
        headers: dict[str, str],
        deadline_ms: int,
        method: str = "POST",
        body: bytes = b"",
        channel: Channel | None = None,
        upload_seconds: float = 0.0,
    ) -> Answer:
        """Send one client attempt and wait for its end.

        Without a channel that is kept, the attempt has one of its own.  A long body may
        take some time to leave the client.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Zinniaramp-Request-Id: {request}"]
        lines.append(f"Zinniaramp-Deadline-Ms: {deadline_ms}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        answer = Answer(request)
        used = channel or await self.connect(gateway)
        self.record(
            "client sends",
            request=request,
            path=path,
            gateway=gateway,
            kept=channel is not None,
            bytes=len(body),
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._write(used.writer, data, upload_seconds)
                await self._read_answer(used.reader, answer)
        except TimeoutError:
            pass
        answer.ended_at = time.monotonic()
        if channel is None or answer.is_closed:
            used.writer.close()
        text = answer.raw.decode("latin-1")
        self.record(
            "client got",
            request=request,
            status=answer.status,
            after_s=round(answer.ended_at - answer.sent_at, 3),
            closed=answer.is_closed,
            answer=text if len(text) < 6000 else text[:3000] + " ... " + text[-3000:],
        )
        return answer

    @staticmethod
    async def _write(writer, data: bytes, seconds: float) -> None:
        size = -(-len(data) // UPLOAD_STEPS) if seconds else len(data)
        try:
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await writer.drain()
                await asyncio.sleep(seconds / UPLOAD_STEPS)
        except ConnectionError:
            # The answer, if any, is still to be read.
            return

    async def connect(self, gateway: str) -> Channel:
        """Open a channel to a gateway."""
        port = self.port(f"{gateway} frontend")
        return Channel(*await asyncio.open_connection(IP, port))

    @staticmethod
    async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
        while not answer.is_over:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            answer.raw += data
            answer.is_closed = not data

    def gateway_log(self, name: str, *events: str) -> list[dict]:
        """Return lines of a gateway's log by the names of their events."""
        path = Path(self.directory.name) / f"{name}.log"
        lines = []
        for text in path.read_text().splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                line = {"name": "text", "text": text}
            if line.get("name") in events:
                lines.append(line)
        return lines

    async def end(self) -> None:
        """End all processes of this run."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        self.store.server.close()
        self.record("all processes have ended")
        self.lines.close()
        self.directory.cleanup()


async def _run(folder: Path, play) -> int:
    trial = Trial(folder)
    try:
        async with asyncio.timeout(110):
            return await play(trial)
    except Exception as error:
        trial.record("the case could not run", error=repr(error))
        print(f"the case could not run: {error!r}")
        return 2
    finally:
        await trial.end()


def main(folder: Path, play) -> None:
    """Play a case and exit with its code: 1 broken, 0 held, 2 it could not run."""
    sys.exit(asyncio.run(_run(folder, play)))
