"""Sections and keys of a settings file, and their validation."""

from pathlib import Path
from typing import Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from ..ini import Problem, Seconds, declare_key, parse_ini, read_section
from ..routing import DEFAULT_POLICY
from ..scheduling.orders import DEFAULT_ADMISSION, DEFAULT_ORDER

__all__ = [
    "EngineSettings",
    "FleetSettings",
    "LimitsSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "ProcessSettings",
    "RoutingSettings",
    "SECTIONS",
    "SchedulingSettings",
    "Settings",
    "read_settings",
]

_section_dataclass = dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(extra="forbid", validate_default=True),
)

ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$"
OPTIONAL_ADDRESS_PATTERN = rf"^$|{ADDRESS_PATTERN}"


@_section_dataclass
class ProcessSettings:
    """``[process]``: identity of the process."""

    role: Literal["entry", "endpoint"] = declare_key("Role of the process.")
    name: str = declare_key(
        "Name of the host in the host list.", pattern=r"^[a-z0-9-]{1,40}$"
    )
    data_centre: str = declare_key(
        "Data centre of the host.", pattern=r"^[a-z0-9-]{1,40}$"
    )


@_section_dataclass
class ListenSettings:
    """``[listen]``: addresses of the listeners, each an IP address and a port."""

    operator: str = declare_key(
        "Address for health, metrics, status and drain; any client that can connect "
        "to it can stop the process.",
        default="127.0.0.1:9470",
        pattern=ADDRESS_PATTERN,
    )
    callers: str = declare_key(
        "Address for callers; required for entry processes.",
        default="",
        pattern=OPTIONAL_ADDRESS_PATTERN,
    )
    streams: str = declare_key(
        "Address for the streams of entry processes; required for endpoint processes.",
        default="",
        pattern=OPTIONAL_ADDRESS_PATTERN,
    )


@_section_dataclass
class PlatformSettings:
    """``[platform]``: services of the platform and local substitutes for them."""

    configuration: str = declare_key(
        "URL of the configuration service; empty to use only `declarations`.",
        default="",
    )
    hosts: str = declare_key(
        "URL of the host list; empty to use only `endpoints`.", default=""
    )
    declarations: str = declare_key(
        "File of declarations to use until the configuration service answers.",
        default="",
    )
    endpoints: str = declare_key(
        "Stream addresses of endpoint processes, separated by spaces, for use "
        "without a host list.",
        default="",
    )
    lookup_timeout: Seconds = declare_key(
        "Longest wait at start for the platform, and for a peer to report the "
        "revision in force.",
        unit="s",
        default=8,
        ge=0,
        le=60,
    )


@_section_dataclass
class FleetSettings:
    """``[fleet]``: settings that are the same in all processes of a fleet."""

    key: str = declare_key(
        "Shared secret with which processes of the fleet authenticate to each other.",
        is_secret=True,
        min_length=16,
    )
    heartbeat: Seconds = declare_key(
        "Interval between heartbeats on a stream.", unit="s", default=1, gt=0, le=60
    )
    silence: Seconds = declare_key(
        "Time without a received message after which a stream is replaced.",
        unit="s",
        default=3,
        gt=0,
        le=300,
    )
    drain_limit: Seconds = declare_key(
        "Longest time that a shutdown waits for requests in flight to complete.",
        unit="s",
        default=600,
        ge=0,
        le=86400,
    )


@_section_dataclass
class EngineSettings:
    """``[engine]``: engine or plain service that an endpoint process forwards to."""

    url: str = declare_key(
        "Base URL of the engine or plain service.", pattern=r"^https?://"
    )
    serves: str = declare_key(
        "Names of the models or services that it serves, separated by spaces."
    )
    kind: Literal["engine", "service"] = declare_key(
        "Model engine or plain service.", default="engine"
    )
    width: int = declare_key(
        "Number of requests that it runs concurrently.", default=8, ge=1, le=4096
    )
    fence: Literal["checked", "ignored"] = declare_key(
        "Whether it refuses requests with an outdated fencing token.",
        default="ignored",
    )


@_section_dataclass
class RoutingSettings:
    """``[routing]``: how an entry process selects endpoints."""

    policy: Literal["two_choices", "random", "round_robin", "least_reported"] = (
        declare_key(
            "Policy for the selection of an endpoint; all but the default are "
            "baselines for measurements.",
            default=DEFAULT_POLICY,
        )
    )


@_section_dataclass
class SchedulingSettings:
    """``[scheduling]``: how an endpoint process orders and admits requests."""

    order: Literal[
        "priority_with_preemption",
        "strict_priority_without_preemption",
        "first_come_first_served",
    ] = declare_key(
        "Order in which requests run; all but the default are baselines for "
        "measurements and violate the guarantees of urgent requests.",
        default=DEFAULT_ORDER,
    )
    admission: Literal["predicted_wait", "places"] = declare_key(
        "Whether a request is refused early, by its predicted wait, or only when the "
        "queue is full; the latter is a baseline for measurements.",
        default=DEFAULT_ADMISSION,
    )


@_section_dataclass
class LimitsSettings:
    """``[limits]``: memory and descriptors of the process."""

    memory: int = declare_key(
        "Memory of the process, with the bytes that it has received and not read. "
        "Requests beyond it are refused.",
        unit="MiB",
        default=256,
        ge=96,
        le=1024 * 1024,
    )
    descriptors: int = declare_key(
        "Open descriptors of the process; 0 for the limit of the operating system.",
        default=0,
        ge=0,
        le=1024 * 1024,
    )


@_section_dataclass
class LogSettings:
    """``[log]``: level and destination of the log."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = declare_key(
        "Lowest level of events that are written.", default="INFO"
    )
    file: str = declare_key(
        "Path of the log file; empty for standard error.", default=""
    )


SECTIONS = {
    "process": ProcessSettings,
    "listen": ListenSettings,
    "platform": PlatformSettings,
    "fleet": FleetSettings,
    "engine": EngineSettings,
    "routing": RoutingSettings,
    "scheduling": SchedulingSettings,
    "limits": LimitsSettings,
    "log": LogSettings,
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """All sections of one settings file."""

    process: ProcessSettings
    listen: ListenSettings
    platform: PlatformSettings
    fleet: FleetSettings
    log: LogSettings
    engine: EngineSettings | None = Field(default=None)
    routing: RoutingSettings = Field(default_factory=RoutingSettings)
    scheduling: SchedulingSettings = Field(default_factory=SchedulingSettings)
    limits: LimitsSettings = Field(default_factory=LimitsSettings)


def _unknown_section_problem(file: str, section: str) -> Problem:
    return Problem(
        file=file,
        section=section,
        key="",
        value="",
        message="unknown section",
        remedy=f"remove it or use one of: {', '.join(SECTIONS)}",
    )


def _check_across_sections(settings: Settings, file: str) -> list[Problem]:
    role = settings.process.role
    required_key = {"entry": "callers", "endpoint": "streams"}[role]
    problems = []
    if not getattr(settings.listen, required_key):
        problems.append(
            Problem(
                file=file,
                section="listen",
                key=required_key,
                value="",
                message=f"required for an {role} process",
                remedy="add the key with an IP address and a port",
            )
        )
    if role == "endpoint" and settings.engine is None:
        problems.append(
            Problem(
                file=file,
                section="engine",
                key="",
                value="",
                message="required for an endpoint process",
                remedy="add the section with url and serves",
            )
        )
    if settings.fleet.silence <= settings.fleet.heartbeat:
        problems.append(
            Problem(
                file=file,
                section="fleet",
                key="silence",
                value=f"{settings.fleet.silence.total_seconds():g}",
                message="not above heartbeat, so every stream would be replaced",
                remedy="set silence to a few times heartbeat",
            )
        )
    return problems


def read_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        Path of the file.

    Returns
    -------
    Result
        The settings; or every `Problem` found.
    """
    file = str(path)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            [
                Problem(
                    file=file,
                    section="",
                    key="",
                    value="",
                    message=f"cannot be read: {error}",
                    remedy="specify the path of a readable settings file",
                )
            ]
        )
    match parse_ini(text, file=file):
        case Err(problem):
            return Err([problem])
        case Ok(parser):
            return _read_sections(parser, file)


def _read_sections(parser, file: str) -> Result[Settings, list[Problem]]:
    problems = [
        _unknown_section_problem(file, name)
        for name in parser.sections()
        if name not in SECTIONS
    ]
    sections = {}
    for name, section_class in SECTIONS.items():
        if name == "engine" and name not in parser:
            continue
        values = dict(parser[name]) if name in parser else {}
        match read_section(section_class, values, file=file, section=name):
            case Ok(section):
                sections[name] = section
            case Err(section_problems):
                problems.extend(section_problems)
    if problems:
        return Err(problems)
    settings = Settings(**sections)
    problems = _check_across_sections(settings, file)
    return Err(problems) if problems else Ok(settings)
