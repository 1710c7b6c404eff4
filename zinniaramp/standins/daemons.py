"""Daemon processes of a fleet: their addresses, settings files and start."""

import configparser
from collections.abc import Callable
from dataclasses import dataclass, field

from .hosts import HostEntry
from .processes import Fleet, FleetProcess, free_port

__all__ = ["DaemonPlan", "plan_daemon", "start_daemon"]

FLEET_KEY = "loopback-fleet-key"
"""Key of fleets on loopback."""

DATA_CENTRES = 3
"""Data centres over which a fleet's hosts are spread."""

LOOPBACK = "127.0.0.1"
"""Address of every process."""

LISTEN_KEYS = {"entry": "callers", "endpoint": "streams"}
"""Key of ``[listen]`` for the role's own listener."""


@dataclass(slots=True, kw_only=True, frozen=True)
class DaemonPlan:
    """A daemon process that is not started yet.

    Parameters
    ----------
    name, role, data_centre : str
        As in its settings and in the host list.
    address, operator : str
        IP number and port of its own listener and of the one for operators.
    engine : dict of str
        Its ``[engine]`` section; empty for entries.
    """

    name: str
    role: str
    data_centre: str
    address: str
    operator: str
    engine: dict[str, str] = field(default_factory=dict)

    def host_entry(self, advertise: Callable[[str], str]) -> HostEntry:
        """Return the process's host as the host list names it.

        Parameters
        ----------
        advertise : callable
            Returns the address at which others reach a stream address.
        """
        return HostEntry(
            name=self.name,
            data_centre=self.data_centre,
            role=self.role,
            address=advertise(self.address) if self.role == "endpoint" else "",
            serves=self.engine.get("serves", "").split(),
        )

    def settings(self, platform: dict[str, str]) -> configparser.ConfigParser:
        """Return the process's settings."""
        settings = configparser.ConfigParser(interpolation=None)
        settings["process"] = {
            "role": self.role,
            "name": self.name,
            "data_centre": self.data_centre,
        }
        settings["listen"] = {
            "operator": self.operator,
            LISTEN_KEYS[self.role]: self.address,
        }
        settings["platform"] = platform
        settings["fleet"] = {"key": FLEET_KEY}
        if self.engine:
            settings["engine"] = self.engine
        return settings


def plan_daemon(*, name: str, role: str, number: int, **engine: str) -> DaemonPlan:
    """Reserve the addresses of a daemon process.

    Parameters
    ----------
    name, role : str
        Name and role of the process.
    number : int
        Its number within the role, which chooses the data centre.
    **engine
        Keys of its ``[engine]`` section.
    """
    return DaemonPlan(
        name=name,
        role=role,
        data_centre=f"dc-{number % DATA_CENTRES + 1}",
        address=f"{LOOPBACK}:{free_port()}",
        operator=f"{LOOPBACK}:{free_port()}",
        engine=engine,
    )


def start_daemon(
    fleet: Fleet,
    plan: DaemonPlan,
    platform: dict[str, str],
    changed: dict[str, dict[str, str]],
) -> FleetProcess:
    """Write a daemon process's settings file and start it.

    Parameters
    ----------
    fleet : Fleet
        The fleet that it belongs to.
    plan : DaemonPlan
        The process.
    platform : dict of str
        Its ``[platform]`` section.
    changed : dict of dict of str
        Keys by section that differ from the usual settings.
    """
    settings = fleet.directory / f"{plan.name}.ini"
    parser = plan.settings(platform)
    parser.read_dict(changed)
    with settings.open("w") as file:
        parser.write(file)
    operator = f"http://{plan.operator}"
    callers = f"http://{plan.address}"
    return fleet.add(
        name=plan.name,
        role=plan.role,
        url=callers if plan.role == "entry" else operator,
        ready_url=f"{operator}/readyz",
        arguments=["zinniaramp.daemon", str(settings)],
        settings=str(settings),
        operator=operator,
        address=plan.address,
    )
