"""Settings file that the platform writes for each process, in TOML."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from result import Err, Ok, Result

from ..locality import DEFAULT_PRICE
from ..sockets import Address, parse_address
from .listening import settings_path

__all__ = [
    "HostBounds",
    "HostLimits",
    "HostSettings",
    "SettingsError",
    "read_host_settings",
]


class SettingsError(Exception):
    """The settings are not valid; the message states field, value and remedy."""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostBounds:
    """Time limits and the retry budget that the platform sets for a process.

    Parameters
    ----------
    grace : timedelta
        Time from SIGTERM to SIGKILL.
    endpoint_relist_window : timedelta
        Time within which endpoints are listed again after an outage of the store.
    retry_share, retry_slack : float
        Retry budget of all gateway processes together in one `retry_window`: retries
        per request of the service, and a number of retries that is added to them.
    retry_window : timedelta
        Time window over which retries are counted.
    cold_overshoot, cold_slack : float
        Requests that a cold endpoint gets at most in any second: `cold_overshoot` times
        the rate that it bears, and a number that is added.
    """

    grace: timedelta
    endpoint_relist_window: timedelta
    retry_share: float
    retry_slack: float
    retry_window: timedelta
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class HostLimits:
    """Limits of the host that the process must not exceed.

    Parameters
    ----------
    memory_mb : float or None
        Resident memory in MiB; None if it is not limited.
    max_fds : float or None
        Open descriptors; None if they are not limited.
    link_mbps : float or None
        Rate of the host's link in Mbit/s; None if it is not known.
    """

    memory_mb: float | None = None
    max_fds: float | None = None
    link_mbps: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class HostSettings:
    """Settings of one process.

    Parameters
    ----------
    name, data_center : str
        Names of the host and its data centre.
    ip : str
        IP address of the host.
    callers, readiness, peers : Address
        Addresses to listen on for callers, for the load balancer's health check and
        for other gateway processes.
    metrics_port : int
        Port on which metrics are served.
    store : Address
        Address of the platform's store.
    store_history : timedelta
        Time for which the store keeps its changes; 0 if it is not stated.
    heartbeat : timedelta
        Interval at which endpoints write their entries in the store.
    seeds : tuple of Address
        Other gateway processes to connect to at startup.
    bounds : HostBounds
        Limits that the platform sets for the process.
    regions : mapping of str
        Region of each data centre; empty if the platform names none.
    limits : HostLimits
        Limits of the host.
    transfer_price : float
        Price of 1,000 bytes between data centres, in milliseconds of waiting that are
        worth the same.
    holds_prompts : bool
        Whether prompts wait in the gateway while engines lack room for them.
    """

    name: str
    data_center: str
    ip: str
    callers: Address
    readiness: Address
    peers: Address
    metrics_port: int
    store: Address
    store_history: timedelta
    heartbeat: timedelta
    seeds: tuple[Address, ...]
    bounds: HostBounds
    regions: Mapping[str, str] = field(default_factory=dict)
    limits: HostLimits = HostLimits()
    transfer_price: float = DEFAULT_PRICE
    holds_prompts: bool = False


class _Table:
    """Table of the file whose accessors check the type and range of a field.

    Each accessor raises `SettingsError` if the value is not valid.

    Parameters
    ----------
    table : object
        Parsed TOML; anything but a dict is refused.
    path : str
        Name of the table, for error messages; empty for the top level.
    """

    __slots__ = ("table", "path")

    def __init__(self, *, table: object, path: str):
        if not isinstance(table, dict):
            raise SettingsError(f"{path}: {table!r} is not a table; write [{path}]")
        self.table = table
        self.path = path

    def subtable(self, name: str) -> "_Table":
        return _Table(table=self.table.get(name), path=f"{self.path}{name}")

    def text(self, name: str) -> str:
        value = self.table.get(name)
        if not isinstance(value, str) or not value:
            raise self._field_error(name, value, "a non-empty string")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.table.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self._field_error(name, value, "a number >= 0")
        return float(value)

    def optional_number(self, name: str) -> float | None:
        return self.number(name) if name in self.table else None

    def address(self, name: str) -> Address:
        return self._parse_address(name, self.table.get(name))

    def addresses(self, name: str) -> tuple[Address, ...]:
        values = self.table.get(name, [])
        if not isinstance(values, list):
            raise self._field_error(name, values, "a list of IP:PORT")
        return tuple(self._parse_address(name, value) for value in values)

    def first_port(self, name: str) -> int:
        value = self.table.get(name)
        if not isinstance(value, list) or not value or not isinstance(value[0], int):
            raise self._field_error(name, value, "a list of two ports")
        return value[0]

    def _parse_address(self, name: str, value: object) -> Address:
        try:
            return parse_address(value if isinstance(value, str) else "")
        except ValueError:
            raise self._field_error(name, value, "IPv4:PORT") from None

    def _field_error(self, name: str, value: object, expected: str) -> SettingsError:
        field = f"{self.path}.{name}" if self.path else name
        return SettingsError(f"{field} = {value!r} is not {expected}; correct the file")


def _parse_bounds(fields: _Table) -> HostBounds:
    return HostBounds(
        grace=timedelta(seconds=fields.number("grace_s")),
        # The platform's name of this field refers to the reuse of addresses by other
        # servers; its PROTOCOL page allows the same two seconds for expired endpoint
        # entries to reappear.
        endpoint_relist_window=timedelta(seconds=fields.number("reuse_after_s")),
        retry_share=fields.number("retry_budget_ratio"),
        retry_slack=fields.number("retry_budget_slack"),
        retry_window=timedelta(seconds=fields.number("budget_window_s")),
        cold_overshoot=fields.number("cold_overshoot", 1),
        cold_slack=fields.number("cold_slack", 0),
    )


def _parse_regions(top: _Table) -> dict[str, str]:
    """Return the region of each data centre for which the settings name one.

    Other values are left out: no request that is bound to a region is sent to a data
    centre without one, and the process serves the others.
    """
    zones = top.table.get("zones")
    own = {top.text("zone"): top.table.get("region")}
    regions = own | (zones if isinstance(zones, dict) else {})
    return {zone: one for zone, one in regions.items() if isinstance(one, str) and one}


def _parse_limits(document: dict) -> HostLimits:
    fields = _Table(table=document.get("limits", {}), path="limits")
    return HostLimits(
        memory_mb=fields.optional_number("memory_mb"),
        max_fds=fields.optional_number("max_fds"),
        link_mbps=fields.optional_number("link_mbps"),
    )


def _parse_transfer_price(top: _Table) -> float:
    """Return the operator's price; the table is optional."""
    if "locality" not in top.table:
        return DEFAULT_PRICE
    return top.subtable("locality").number("transfer_ms_per_kb", DEFAULT_PRICE)


def _parse_holds_prompts(top: _Table) -> bool:
    """Return whether the operator has switched holding on; the table is optional."""
    if "admission" not in top.table:
        return False
    value = top.subtable("admission").table.get("hold_prompts", False)
    if not isinstance(value, bool):
        raise SettingsError(
            f"admission.hold_prompts = {value!r} is not true or false; correct it"
        )
    return value


def _parse_settings(document: dict) -> HostSettings:
    top = _Table(table=document, path="")
    listen, platform = top.subtable("listen"), top.subtable("platform")
    return HostSettings(
        name=top.text("node_name"),
        data_center=top.text("zone"),
        ip=top.text("ip"),
        callers=listen.address("frontend"),
        readiness=listen.address("ready"),
        peers=listen.address("control_plane"),
        metrics_port=top.first_port("internal_ports"),
        store=platform.address("address"),
        store_history=timedelta(seconds=platform.number("history_s", 0)),
        heartbeat=timedelta(milliseconds=top.number("heartbeat_ms")),
        seeds=top.addresses("seeds"),
        bounds=_parse_bounds(top.subtable("bounds")),
        regions=_parse_regions(top),
        limits=_parse_limits(document),
        transfer_price=_parse_transfer_price(top),
        holds_prompts=_parse_holds_prompts(top),
    )


def read_host_settings(path: Path | None = None) -> Result[HostSettings, SettingsError]:
    """Read and check the settings file.

    Parameters
    ----------
    path : Path, optional
        Settings file; by default the one given by the environment.
    """
    chosen = path or settings_path()
    try:
        return Ok(_parse_settings(tomllib.loads(chosen.read_text())))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Err(SettingsError(f"{chosen}: {error}; write a TOML file to this path"))
    except SettingsError as error:
        return Err(error)
