"""The verb ``explain``: events of one request in the logs of several processes."""

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
"""Fields of every log line."""

STDIN = Path("-")
"""Placeholder for standard input in a list of paths."""

REQUEST_FIELDS = (
    "attempt",
    "attempts",
    "request",
    "request_id",
    "joined",
    "victim",
    "resumes",
)
"""Fields whose value may be the id of a request or of one of its attempts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestEvent:
    """Event of a request, read from a log line.

    Parameters
    ----------
    time : datetime
        Time of the event, by the clock of the process.
    source : str
        Name of the process: the prefix that a log collector added to the line, or
        else the name of the file without its suffix.
    event : int
        Number of the event.
    name : str
        Name of the event.
    fields : dict
        Fields of the event without `COMMON_FIELDS`, and their values.
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


def _refers_to(value: Any, request: str) -> bool:
    if isinstance(value, str):
        return value.partition(".")[0] == request
    if isinstance(value, list):
        return any(_refers_to(item, request) for item in value)
    return False


def _parse_line(text: str, source: str, request: str) -> RequestEvent | None:
    """Parse a log line; return None if it is not an event of the request.

    Log collectors may put a prefix before the JSON object; its last word is the
    source.
    """
    before, brace, rest = text.partition("{")
    try:
        line = json_library.loads(brace + rest)
        time = datetime.fromisoformat(line["time"])
        event, name = line["event"], line["name"]
    except (ValueError, KeyError, TypeError):
        return None
    if not any(_refers_to(line.get(key), request) for key in REQUEST_FIELDS):
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


def _read_events(path: Path, request: str) -> Iterator[RequestEvent]:
    opened = nullcontext(sys.stdin) if path == STDIN else path.open(errors="replace")
    with opened as lines:
        for text in lines:
            line = _parse_line(text, path.stem, request) if request in text else None
            if line is not None:
                yield line


def read_request_events(request: str, logs: Iterable[Path]) -> list[RequestEvent]:
    """Return the events of one request, sorted by time.

    Parameters
    ----------
    request : str
        Id of the request or of one of its attempts.
    logs : iterable of Path
        Logs of the processes that may have handled it.

    Notes
    -----
    The clocks of the hosts may differ, so the order of events of different hosts is
    approximate; lines of one process with equal times keep their order.
    """
    request_id = request.partition(".")[0]
    events = [line for path in logs for line in _read_events(path, request_id)]
    return sorted(events, key=lambda line: line.time)


@verb(flags=("json", "stdin"))
def explain(request: str, *logs: str, json: bool = False, stdin: bool = False) -> None:
    """Print the events of one request from the logs of several processes.

    Parameters
    ----------
    request : str
        Id of the request, as in ``Zinniaramp-Request-Id``.
    *logs : str
        Paths of log files.
    json : bool
        Print JSON.
    stdin : bool
        Read standard input in addition.
    """
    paths = [Path(log) for log in logs] + [STDIN] * stdin
    if not paths:
        fail("specify at least one log file, or --stdin", EXIT_USAGE)
    try:
        events = read_request_events(request, paths)
    except OSError as error:
        fail(f"{error}; specify readable log files", EXIT_USAGE)
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
                for line in events
            ]
        )
    else:
        for line in events:
            print(line)
    if not events:
        print(f"{request}: not found in {len(paths)} logs", file=sys.stderr)
        sys.exit(EXIT_WRONG)
