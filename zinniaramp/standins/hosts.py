"""Stand-in for the platform's lagging list of live and leaving hosts."""

import asyncio
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Literal

import fire
import pydantic
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from ..clock import Clock, monotonic_clock
from .history import History
from .serving import Call, Controls, Faults, StandinHandler, problem_text, serve

__all__ = ["HostEntry", "HostList"]


@pydantic.dataclasses.dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(strict=True, extra="forbid"),
)
class HostEntry:
    """One host of the list.

    Parameters
    ----------
    name, data_centre, role : str
        Name of the host, where it stands, and the role of the process on it.
    address : str
        IP number and port of its stream listener; empty for entries.
    state : str
        Whether it is leaving.
    serves : list of str
        Models and plain services behind it.
    """

    name: str
    data_centre: str
    role: Literal["entry", "endpoint"]
    address: str = ""
    state: Literal["live", "leaving"] = "live"
    serves: list[str] = Field(default_factory=list)


HOSTS = TypeAdapter(list[HostEntry])
"""Checks a list of hosts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostList:
    """One state of the list."""

    index: int
    hosts: list[HostEntry]


class HostRegistry:
    """The list with its past.

    Parameters
    ----------
    hosts : list of HostEntry
        The list at the start.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, hosts: list[HostEntry], clock: Clock):
        self.clock = clock
        self.lists = History(initial=HostList(index=0, hosts=hosts), clock=clock)

    def replace(self, hosts: list[HostEntry]) -> HostList:
        """Take a new true list."""
        newer = HostList(index=self.lists.latest().index + 1, hosts=hosts)
        self.lists.record(newer)
        return newer


class HostsHandler(StandinHandler):
    """``GET /v1/hosts``."""

    async def get(self):
        """Answer with the list as it was some time ago."""
        now = self.state.clock().timestamp()
        self.controls.log.append(Call(method="GET", path=self.request.uri, started=now))
        lagging = self.state.lists.as_of(self.controls.faults.lag_s)
        await self.reply(asdict(lagging))


class ReplaceHandler(StandinHandler):
    """``POST /standin/hosts``, for tests."""

    def prepare(self):
        """Serve whatever faults are in force."""

    async def post(self):
        """Take the list of the body as the true one."""
        try:
            hosts = HOSTS.validate_json(self.request.body)
        except ValidationError as failure:
            self.set_status(400)
            self.write({"error": {"message": problem_text(failure)}})
            return
        self.write(asdict(self.state.replace(hosts)))


ROUTES = [("/v1/hosts", HostsHandler), ("/standin/hosts", ReplaceHandler)]
"""Path pattern and handler class of each call."""


async def run(*, port: int, hosts: list[HostEntry], lag_s: float) -> None:
    """Serve until the process is ended."""
    registry = HostRegistry(hosts=hosts, clock=monotonic_clock())
    controls = Controls(faults=Faults(lag_s=lag_s))
    await serve(ROUTES, port=port, controls=controls, state=registry)


def main(*, port: int, file: str = "", lag_s: float = 2.0) -> None:
    """Serve a stand-in for the list of hosts on loopback.

    Parameters
    ----------
    port : int
        TCP port.
    file : str
        JSON file with the list to start with; empty if left out.
    lag_s : float
        Age of the list that is served, in seconds.
    """
    hosts = HOSTS.validate_json(Path(file).read_bytes()) if file else []
    asyncio.run(run(port=port, hosts=hosts, lag_s=lag_s))


if __name__ == "__main__":
    fire.Fire(main)
