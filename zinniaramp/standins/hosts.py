"""Stand-in for the platform's list of hosts, which is served with a delay."""

import asyncio
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Literal

import fire
import pydantic
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from ..clock import Clock, monotonic_clock
from .history import History
from .serving import (
    Call,
    Controls,
    Faults,
    StandinHandler,
    format_validation_error,
    serve,
)

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
        Name of the host, its data centre, and the role of the process on it.
    address : str
        IP address and port of its stream listener; empty for entries.
    state : str
        ``leaving`` while the host shuts down, ``live`` otherwise.
    serves : list of str
        Names of the models and plain services that the host serves.
    """

    name: str
    data_centre: str
    role: Literal["entry", "endpoint"]
    address: str = ""
    state: Literal["live", "leaving"] = "live"
    serves: list[str] = Field(default_factory=list)


HOSTS = TypeAdapter(list[HostEntry])
"""Validator of a JSON list of hosts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostList:
    """One version of the list; `index` rises by 1 with each."""

    index: int
    hosts: list[HostEntry]


class HostRegistry:
    """The current list of hosts and its earlier versions.

    Parameters
    ----------
    hosts : list of HostEntry
        First version of the list.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, hosts: list[HostEntry], clock: Clock):
        self.clock = clock
        self.lists = History(initial=HostList(index=0, hosts=hosts), clock=clock)

    def replace(self, hosts: list[HostEntry]) -> HostList:
        """Make a list the current version and return that version."""
        version = HostList(index=self.lists.latest().index + 1, hosts=hosts)
        self.lists.record(version)
        return version


class HostsHandler(StandinHandler):
    """Handler of ``GET /v1/hosts``."""

    async def get(self):
        """Answer with the list as it was ``lag_s`` seconds ago."""
        now = self.state.clock().timestamp()
        self.controls.log.append(Call(method="GET", path=self.request.uri, started=now))
        lagging = self.state.lists.as_of(self.controls.faults.lag_s)
        await self.reply(asdict(lagging))


class ReplaceHandler(StandinHandler):
    """Handler of ``POST /standin/hosts``, with which tests change the list."""

    def prepare(self):
        """Change the list even while the stand-in refuses requests."""

    async def post(self):
        """Replace the current list with the one in the body."""
        try:
            hosts = HOSTS.validate_json(self.request.body)
        except ValidationError as failure:
            self.set_status(400)
            self.write({"error": {"message": format_validation_error(failure)}})
            return
        self.write(asdict(self.state.replace(hosts)))


ROUTES = [("/v1/hosts", HostsHandler), ("/standin/hosts", ReplaceHandler)]
"""Path pattern and handler class of each route."""


async def run(*, port: int, hosts: list[HostEntry], lag_s: float) -> None:
    """Serve until the process ends."""
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
        JSON file with the first version of the list; the list is empty without it.
    lag_s : float
        Age of the list that is served, in seconds.
    """
    hosts = HOSTS.validate_json(Path(file).read_bytes()) if file else []
    asyncio.run(run(port=port, hosts=hosts, lag_s=lag_s))


if __name__ == "__main__":
    fire.Fire(main)
