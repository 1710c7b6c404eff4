"""Settings that the platform writes for each process, in TOML."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from result import Err, Ok, Result

from ..sockets import Address, parse_address
from .listening import settings_path

__all__ = ["HostBounds", "HostSettings", "SettingsError", "read_host_settings"]


class SettingsError(Exception):
    """The settings can't be used; the text names field, value and remedy."""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostBounds:
    """Times and shares that the platform holds a process to.

    Parameters
    ----------
    grace : timedelta
        Time from SIGTERM to SIGKILL.
    endpoints_return : timedelta
        Time in which endpoints are listed again after the store was away.
    retry_share, retry_slack : float
        Repeats that all entries may make: a share of a service's requests, and a
        number beside it, in `retry_window`.
    retry_window : timedelta
        Time over which repeats are counted.
    """

    grace: timedelta
    endpoints_return: timedelta
    retry_share: float
    retry_slack: float
    retry_window: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class HostSettings:
    """Settings of one process.

    Parameters
    ----------
    name, data_center : str
        Names of the host and its data centre.
    ip : str
        The host's address.
    callers, readiness, peers : Address
        Listeners for callers, for the balancer's health check and for other
        entries.
    metrics_port : int
        Port of the metrics address.
    store : Address
        The platform's store.
    seeds : tuple of Address
        Other entries to begin with.
    bounds : HostBounds
        What the platform holds the process to.
    """

    name: str
    data_center: str
    ip: str
    callers: Address
    readiness: Address
    peers: Address
    metrics_port: int
    store: Address
    seeds: tuple[Address, ...]
    bounds: HostBounds


class _Fields:
    """Checked access to one table of the file."""

    __slots__ = ("table", "path")

    def __init__(self, *, table: object, path: str):
        if not isinstance(table, dict):
            raise SettingsError(f"{path}: {table!r} is not a table; write [{path}]")
        self.table = table
        self.path = path

    def table_at(self, name: str) -> "_Fields":
        return _Fields(table=self.table.get(name), path=f"{self.path}{name}")

    def text(self, name: str) -> str:
        value = self.table.get(name)
        if not isinstance(value, str) or not value:
            raise self._wrong(name, value, "a text")
        return value

    def number(self, name: str) -> float:
        value = self.table.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self._wrong(name, value, "a number of 0 or more")
        return float(value)

    def address(self, name: str) -> Address:
        return self._as_address(name, self.table.get(name))

    def addresses(self, name: str) -> tuple[Address, ...]:
        values = self.table.get(name, [])
        if not isinstance(values, list):
            raise self._wrong(name, values, "a list of IP:PORT")
        return tuple(self._as_address(name, value) for value in values)

    def first_port(self, name: str) -> int:
        value = self.table.get(name)
        if not isinstance(value, list) or not value or not isinstance(value[0], int):
            raise self._wrong(name, value, "a list of two ports")
        return value[0]

    def _as_address(self, name: str, value: object) -> Address:
        try:
            return parse_address(value if isinstance(value, str) else "")
        except ValueError:
            raise self._wrong(name, value, "IPv4:PORT") from None

    def _wrong(self, name: str, value: object, wanted: str) -> SettingsError:
        field = f"{self.path}.{name}" if self.path else name
        return SettingsError(f"{field} = {value!r} is not {wanted}; correct the file")


def _bounds(fields: _Fields) -> HostBounds:
    return HostBounds(
        grace=timedelta(seconds=fields.number("grace_s")),
        # The platform's name speaks of addresses that are given to other servers;
        # PROTOCOL gives the same two seconds to entries that lapsed.
        endpoints_return=timedelta(seconds=fields.number("reuse_after_s")),
        retry_share=fields.number("retry_budget_ratio"),
        retry_slack=fields.number("retry_budget_slack"),
        retry_window=timedelta(seconds=fields.number("budget_window_s")),
    )


def _settings(document: dict) -> HostSettings:
    top = _Fields(table=document, path="")
    listen = top.table_at("listen")
    return HostSettings(
        name=top.text("node_name"),
        data_center=top.text("zone"),
        ip=top.text("ip"),
        callers=listen.address("frontend"),
        readiness=listen.address("ready"),
        peers=listen.address("control_plane"),
        metrics_port=top.first_port("internal_ports"),
        store=top.table_at("platform").address("address"),
        seeds=top.addresses("seeds"),
        bounds=_bounds(top.table_at("bounds")),
    )


def read_host_settings(path: Path | None = None) -> Result[HostSettings, SettingsError]:
    """Read and check the settings file.

    Parameters
    ----------
    path : Path, optional
        File; the one that the environment names if left out.
    """
    chosen = path or settings_path()
    try:
        return Ok(_settings(tomllib.loads(chosen.read_text())))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Err(SettingsError(f"{chosen}: {error}; write a TOML file there"))
    except SettingsError as error:
        return Err(error)
