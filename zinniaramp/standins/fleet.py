"""Starts and stops a small fleet with its stand-ins on loopback."""

import json
from dataclasses import asdict
from pathlib import Path

from .daemons import DaemonPlan, plan_daemon, start_daemon
from .deployments import Deployment, read_deployment
from .options import ENGINE_WIDTH, FleetOptions
from .processes import (
    FLEET_FILE,
    Fleet,
    FleetError,
    FleetProcess,
    free_port,
    is_alive,
    start_standin,
    terminate_processes,
)
from .text import DEFAULT_MODEL

__all__ = [
    "DAEMON_ROLES",
    "FleetError",
    "FleetOptions",
    "FleetProcess",
    "MODEL",
    "bring_down",
    "bring_up",
    "free_port",
    "is_alive",
    "read_fleet",
]

MODEL = DEFAULT_MODEL
"""Model that the engine stand-ins serve in a fleet with the built-in declarations."""

FIRST_INDEX = 1
"""Index of the configuration stand-in's first revision, the fleet's declarations."""

HOSTS_LAG_SECONDS = 1.0
"""Age of the list that the host list stand-in serves, in seconds."""

DAEMON_ROLES = ("entry", "endpoint")
"""Roles of ``zinniarampd``; its processes are stopped before the stand-ins."""


def _plan_engine_endpoint(
    fleet: Fleet, deployment: Deployment, options: FleetOptions, number: int
) -> DaemonPlan:
    """Start an engine stand-in and plan its endpoint process."""
    serves = " ".join(deployment.models)
    engine = start_standin(
        fleet,
        "engine",
        f"engine-{number}",
        width=options.width,
        slow=options.slow_factor(number),
        models=serves,
    )
    return plan_daemon(
        name=f"endpoint-{number}",
        role="endpoint",
        number=number,
        url=engine.url,
        serves=serves,
        kind="engine",
        width=str(options.width),
    )


def _plan_service_endpoint(
    fleet: Fleet, deployment: Deployment, number: int
) -> DaemonPlan:
    """Start a plain service stand-in and plan its endpoint process."""
    service = start_standin(fleet, "service", f"service-{number}", width=ENGINE_WIDTH)
    return plan_daemon(
        name=f"service-endpoint-{number}",
        role="endpoint",
        number=number,
        url=service.url,
        serves=" ".join(deployment.services),
        kind="service",
        width=str(ENGINE_WIDTH),
    )


def _start_platform(
    fleet: Fleet, deployment: Deployment, options: FleetOptions, plans: list[DaemonPlan]
) -> dict[str, str]:
    """Start the platform's stand-ins and return the daemons' ``[platform]`` section."""
    declarations = fleet.directory / "declarations.ini"
    declarations.write_text(deployment.text)
    hosts = fleet.directory / "hosts.json"
    entries = [plan.host_entry(options.advertise) for plan in plans]
    hosts.write_text(json.dumps([asdict(entry) for entry in entries]))
    configuration_service = start_standin(
        fleet,
        "configuration",
        "configuration",
        file=declarations,
        index=FIRST_INDEX,
    )
    host_list = start_standin(
        fleet, "hosts", "hosts", file=hosts, lag_s=HOSTS_LAG_SECONDS
    )
    return {
        "configuration": configuration_service.url,
        "hosts": host_list.url,
        "declarations": str(declarations),
    }


def _start_all(
    fleet: Fleet,
    deployment: Deployment,
    options: FleetOptions,
    *,
    entries: int,
    endpoints: int,
    services: int,
) -> None:
    """Start the stand-ins and then the daemons, and wait until all are ready."""
    endpoint_plans = [
        _plan_engine_endpoint(fleet, deployment, options, i) for i in range(endpoints)
    ]
    endpoint_plans += [
        _plan_service_endpoint(fleet, deployment, i) for i in range(services)
    ]
    entry_plans = [
        plan_daemon(name=f"entry-{i}", role="entry", number=i) for i in range(entries)
    ]
    plans = [*endpoint_plans, *entry_plans]
    platform = _start_platform(fleet, deployment, options, plans)
    for plan in plans:
        start_daemon(fleet, plan, platform, options.settings)
    fleet.wait_ready()


def bring_up(
    directory: Path,
    *,
    entries: int = 1,
    endpoints: int = 1,
    services: int = 0,
    example: str = "",
    options: FleetOptions | None = None,
) -> list[FleetProcess]:
    """Start a fleet and return when every process is ready.

    Parameters
    ----------
    directory : Path
        Directory for settings, logs and ``fleet.json``; created if missing.
    entries, endpoints, services : int
        Number of entry processes, of engines and of plain services; one endpoint
        process is started for each engine and each plain service.
    example : str
        Name of the directory below ``examples`` whose declarations are published;
        empty for the built-in declarations.
    options : FleetOptions or None
        Options of the fleet; the defaults if None.

    Returns
    -------
    list of FleetProcess
        Every process of the fleet, as recorded in ``fleet.json``.

    Raises
    ------
    FleetError
        A fleet already runs from this directory, the example does not exist, or a
        process ended or was not ready in time.  The processes that this call has
        started are terminated first.
    """
    options = options or FleetOptions()
    directory = directory.resolve()
    directory.mkdir(parents=True, exist_ok=True)
    if any(is_alive(process) for process in _read_fleet_file(directory)):
        raise FleetError(f"a fleet already runs from {directory}; bring it down first")
    try:
        deployment = read_deployment(example, options.declarations)
    except OSError as error:
        raise FleetError(f"example {example} cannot be read: {error}") from error
    fleet = Fleet(directory=directory)
    fleet.write()
    try:
        _start_all(
            fleet,
            deployment,
            options,
            entries=entries,
            endpoints=endpoints,
            services=services,
        )
    except BaseException:
        terminate_processes(fleet.processes)
        raise
    return fleet.processes


def _read_fleet_file(directory: Path) -> list[FleetProcess]:
    path = directory / FLEET_FILE
    if not path.exists():
        return []
    return [FleetProcess(**fields) for fields in json.loads(path.read_text())]


def read_fleet(directory: Path) -> list[FleetProcess]:
    """Return the processes recorded in ``fleet.json``.

    Raises
    ------
    FleetError
        The directory has no ``fleet.json``.
    """
    if not (directory / FLEET_FILE).exists():
        raise FleetError(f"{directory} has no {FLEET_FILE}: not a fleet's directory")
    return _read_fleet_file(directory)


def bring_down(directory: Path) -> None:
    """Terminate all processes of a fleet, daemons first.

    The daemons can still reach the stand-ins while they shut down.

    Raises
    ------
    FleetError
        The directory has no ``fleet.json``.
    """
    processes = read_fleet(directory)
    daemons = [process for process in processes if process.role in DAEMON_ROLES]
    terminate_processes(daemons)
    terminate_processes([process for process in processes if process not in daemons])
