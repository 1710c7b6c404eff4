"""Reading the platform's list of hosts from parsed JSON."""

from dataclasses import dataclass, field

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..reads import ReadError
from .core import Host, HostState

__all__ = ["HostList", "MalformedEntry", "parse_host_list"]

_HOST_ADAPTER = TypeAdapter(Host)

MAX_LOGGED_ENTRY_LENGTH = 120
"""Characters of a malformed entry that are logged."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MalformedEntry:
    """An entry that failed validation, shortened for the log, and the error."""

    entry: str
    error: str


@dataclass(slots=True, kw_only=True)
class HostList:
    """The content of one answer of the host list service.

    Parameters
    ----------
    index : int
        Index of the list; a newer list has a higher one.
    hosts : dict of Host
        Hosts by name.
    duplicates : dict of list of str
        For each name listed more than once, the addresses of its entries in order.
    malformed : list of MalformedEntry
        Entries that are ignored because they failed validation.
    """

    index: int
    hosts: dict[str, Host] = field(default_factory=dict)
    duplicates: dict[str, list[str]] = field(default_factory=dict)
    malformed: list[MalformedEntry] = field(default_factory=list)

    def add(self, host: Host) -> None:
        """Add a host; of several with the same name, the last live one is used."""
        existing = self.hosts.get(host.name)
        if existing is not None:
            addresses = self.duplicates.setdefault(host.name, [existing.address])
            addresses.append(host.address)
            if host.state is HostState.LEAVING and existing.state is HostState.LIVE:
                return
        self.hosts[host.name] = host


def parse_host_list(answer) -> Result[HostList, ReadError]:
    """Validate an answer of the host list service.

    Parameters
    ----------
    answer : object
        Parsed JSON.

    Returns
    -------
    Result
        The list without malformed entries; or `ReadError` if the answer itself is
        malformed.
    """
    try:
        index, entries = answer["index"], answer["hosts"]
    except (KeyError, TypeError, IndexError) as error:
        return Err(ReadError(f"answer lacks a field: {error!r}"))
    if type(index) is not int or not isinstance(entries, list):
        return Err(ReadError("answer has a field of the wrong type"))
    host_list = HostList(index=index)
    for entry in entries:
        try:
            host_list.add(_HOST_ADAPTER.validate_python(entry))
        except ValidationError as error:
            host_list.malformed.append(
                MalformedEntry(
                    entry=repr(entry)[:MAX_LOGGED_ENTRY_LENGTH],
                    error=str(error.errors()[0]["msg"]),
                )
            )
    return Ok(host_list)
