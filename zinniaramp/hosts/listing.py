"""Reading the platform's list of hosts from parsed JSON."""

from dataclasses import dataclass, field

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..reads import ReadError
from .core import Host, HostState

__all__ = ["HostList", "MalformedEntry", "parse_host_list"]

_HOST = TypeAdapter(Host)

SHOWN_LENGTH = 120
"""Characters of a malformed entry that messages show."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MalformedEntry:
    """One entry that is not a host."""

    entry: str
    error: str


@dataclass(slots=True, kw_only=True)
class HostList:
    """One answer of the host list.

    Parameters
    ----------
    index : int
        The list's index.
    hosts : dict of Host
        Hosts by name.
    duplicates : dict
        Addresses of each name that stands more than once.
    malformed : list of MalformedEntry
        Entries that were left out.
    """

    index: int
    hosts: dict[str, Host] = field(default_factory=dict)
    duplicates: dict[str, list[str]] = field(default_factory=dict)
    malformed: list[MalformedEntry] = field(default_factory=list)

    def add(self, host: Host) -> None:
        """Add a host; of two with one name, the last live one is kept."""
        present = self.hosts.get(host.name)
        if present is not None:
            addresses = self.duplicates.setdefault(host.name, [present.address])
            addresses.append(host.address)
            if host.state is HostState.LEAVING and present.state is HostState.LIVE:
                return
        self.hosts[host.name] = host


def parse_host_list(answer) -> Result[HostList, ReadError]:
    """Check an answer of the host list.

    Parameters
    ----------
    answer : object
        Parsed JSON.

    Returns
    -------
    Result
        The list, without entries that are no hosts; or `ReadError`.
    """
    try:
        index, entries = answer["index"], answer["hosts"]
    except (KeyError, TypeError, IndexError) as error:
        return Err(ReadError(f"answer lacks a field: {error!r}"))
    if type(index) is not int or not isinstance(entries, list):
        return Err(ReadError("answer has a field of the wrong type"))
    listed = HostList(index=index)
    for entry in entries:
        try:
            listed.add(_HOST.validate_python(entry))
        except ValidationError as error:
            listed.malformed.append(
                MalformedEntry(
                    entry=repr(entry)[:SHOWN_LENGTH],
                    error=str(error.errors()[0]["msg"]),
                )
            )
    return Ok(listed)
