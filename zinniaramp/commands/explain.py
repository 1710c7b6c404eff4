"""The verb ``explain``: one request's story from the logs of several processes."""

import json as json_library
import sys
from collections.abc import Iterable, Iterator
from contextlib import nullcontext
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from .output import EXIT_USAGE, EXIT_WRONG, fail, print_json, verb

__all__ = ["RequestEvent", "explain", "read_request_events"]

COMMON_FIELDS = ("time", "level", "event", "name")
"""Fields that every line of a log has."""

STDIN = Path("-")
"""Stands for standard input."""

REQUEST_FIELDS = ("attempt", "attempts", "request", "request_id", "joined", "victim")
"""Fields that may name a request or an attempt of it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestEvent:
    """One event of a request.

    Parameters
    ----------
    time : datetime
        When, by the clock of the process.
    source : str
        Name of the log without its ending.
    event : int
        Number of the event.
    name : str
        Name of the event.
    fields : dict
        Its values.
    """

    time: datetime
    source: str
    event: int
    name: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        values = " ".join(
            f"{key}={json_library.dumps(value)}" for key, value in self.fields.items()
        )
        time = self.time.isoformat(timespec="milliseconds")
        return f"{time} {self.source} {self.event} {self.name} {values}"


def _names(value: Any, request: str) -> bool:
    if isinstance(value, str):
        return value.partition(".")[0] == request
    if isinstance(value, list):
        return any(_names(one, request) for one in value)
    return False


def _line_of(text: str, source: str, request: str) -> RequestEvent | None:
    """Read one line; what collectors put before it names its source."""
    before, brace, rest = text.partition("{")
    try:
        line = json_library.loads(brace + rest)
        time = datetime.fromisoformat(line["time"])
        event, name = line["event"], line["name"]
    except (ValueError, KeyError, TypeError):
        return None
    if not any(_names(line.get(key), request) for key in REQUEST_FIELDS):
        return None
    fields = {k: v for k, v in line.items() if k not in COMMON_FIELDS}
    words = before.split()
    return RequestEvent(
        time=time,
        source=words[-1] if words else source,
        event=event,
        name=name,
        fields=fields,
    )


def _lines_of(path: Path, request: str) -> Iterator[RequestEvent]:
    opened = nullcontext(sys.stdin) if path == STDIN else path.open(errors="replace")
    with opened as lines:
        for text in lines:
            line = _line_of(text, path.stem, request) if request in text else None
            if line is not None:
                yield line


def read_request_events(request: str, logs: Iterable[Path]) -> list[RequestEvent]:
    """Return the events of one request in order of time.

    Parameters
    ----------
    request : str
        Identity of the request or of one attempt, as callers are given it.
    logs : iterable of Path
        Logs of the processes that may have had to do with it.

    Notes
    -----
    Hosts' clocks may differ; lines of one process keep their order.
    """
    identity = request.partition(".")[0]
    found = [line for path in logs for line in _lines_of(path, identity)]
    return sorted(found, key=lambda line: line.time)


@verb(flags=("json", "stdin"))
def explain(request: str, *logs: str, json: bool = False, stdin: bool = False) -> None:
    """Print what happened to one request, from the logs of several processes.

    Parameters
    ----------
    request : str
        Identity of the request, as in ``Zinniaramp-Request-Id``.
    *logs : str
        Log files.
    json : bool
        Print JSON.
    stdin : bool
        Read standard input as well.
    """
    paths = [Path(log) for log in logs] + [STDIN] * stdin
    if not paths:
        fail("name at least one log file, or give --stdin", EXIT_USAGE)
    try:
        story = read_request_events(request, paths)
    except OSError as error:
        fail(f"{error}; give the paths of log files", EXIT_USAGE)
    if json:
        print_json(
            [
                {
                    "time": line.time.isoformat(),
                    "source": line.source,
                    "event": line.event,
                    "name": line.name,
                    **line.fields,
                }
                for line in story
            ]
        )
    else:
        for line in story:
            print(line)
    if not story:
        print(f"{request}: in none of {len(paths)} logs", file=sys.stderr)
        sys.exit(EXIT_WRONG)
