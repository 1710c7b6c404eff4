"""Plans the daemon processes of a fleet, writes their settings and starts them."""

import configparser
from collections.abc import Callable
from dataclasses import dataclass, field

from .hosts import HostEntry
from .processes import Fleet, FleetProcess, free_port

__all__ = ["DaemonPlan", "plan_daemon", "start_daemon"]

FLEET_KEY = "loopback-fleet-key"
"""Shared key with which the processes of a loopback fleet authenticate."""

DATA_CENTRES = 3
"""Number of data centres to which a fleet's hosts are assigned in turn."""

LOOPBACK = "127.0.0.1"
"""IP address on which every process listens."""

LISTEN_KEYS = {"entry": "callers", "endpoint": "streams"}
"""Key of ``[listen]`` with the address of the role's main listener."""


@dataclass(slots=True, kw_only=True, frozen=True)
class DaemonPlan:
    """Configuration of a daemon process before its start.

    Parameters
    ----------
    name, role, data_centre : str
        Name, role and data centre, as in its settings and in the host list.
    address, operator : str
        IP address and port of its main listener, for callers or streams, and of
        its listener for operators.
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
        """Return the process's entry in the host list.

        Parameters
        ----------
        advertise : callable
            Maps a stream listener's address to the address that entries connect to.
        """
        return HostEntry(
            name=self.name,
            data_centre=self.data_centre,
            role=self.role,
            address=advertise(self.address) if self.role == "endpoint" else "",
            serves=self.engine.get("serves", "").split(),
        )

    def settings(self, platform: dict[str, str]) -> configparser.ConfigParser:
        """Return the process's settings.

        Parameters
        ----------
        platform : dict of str
            The ``[platform]`` section.
        """
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
    """Choose the ports and the data centre of a daemon process.

    Parameters
    ----------
    name, role : str
        Name and role of the process.
    number : int
        Its number within the role, which determines the data centre.
    **engine
        Keys of its ``[engine]`` section, for endpoints.
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
        The fleet that the process joins.
    plan : DaemonPlan
        Configuration of the process.
    platform : dict of str
        Its ``[platform]`` section.
    changed : dict of dict of str
        Keys and values by section that override the settings of the plan.
    """
    settings = fleet.directory / f"{plan.name}.ini"
    parser = plan.settings(platform)
    parser.read_dict(changed)
    with settings.open("w") as file:
        parser.write(file)
    operator = f"http://{plan.operator}"
    callers = f"http://{plan.address}"
    return fleet.start_process(
        name=plan.name,
        role=plan.role,
        url=callers if plan.role == "entry" else operator,
        ready_url=f"{operator}/readyz",
        arguments=["zinniaramp.daemon", str(settings)],
        settings=str(settings),
        operator=operator,
        address=plan.address,
    )
