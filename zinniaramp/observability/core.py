"""Structured log events, each declared once in the subpackage that emits it."""

import json
import sys
from dataclasses import dataclass

from loguru import logger

__all__ = ["Event", "configure_logging", "declare_event", "declared_events", "emit"]

_EVENTS: dict[int, "Event"] = {}


@dataclass(slots=True, kw_only=True, frozen=True)
class Event:
    """Declaration of one kind of log event.

    Parameters
    ----------
    number : int
        Stable number of the event; each subpackage has a range of a hundred.
    name : str
        Short name in lower case, words separated by hyphens.
    level : str
        Name of a loguru level.
    meaning : str
        One sentence for the generated catalogue of events.
    fields : tuple of str
        Names of the values that the log line contains.
    """

    number: int
    name: str
    level: str
    meaning: str
    fields: tuple[str, ...]


def declare_event(
    *, number: int, name: str, level: str, meaning: str, fields: tuple[str, ...] = ()
) -> Event:
    """Register one kind of log event and return it.

    The parameters are those of `Event`.

    Raises
    ------
    ValueError
        The number is in use; choose the next free one of the subpackage's range.
    """
    if number in _EVENTS:
        raise ValueError(
            f"event number {number} is in use by {_EVENTS[number].name}; "
            "choose the next free number of the subpackage's range"
        )
    event = Event(number=number, name=name, level=level, meaning=meaning, fields=fields)
    _EVENTS[number] = event
    return event


def declared_events() -> list[Event]:
    """Return the events of all modules imported so far, sorted by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def emit(event: Event, **values) -> None:
    """Write one log line.

    Parameters
    ----------
    event : Event
        Declared event to emit.
    **values
        Values of the event's fields; others than JSON types are written as ``str``.
    """
    logger.bind(event=event, values=values).log(event.level, event.name)


def _json_line(record) -> str:
    extra = record["extra"]
    line = {"time": record["time"].isoformat(), "level": record["level"].name}
    if "event" in extra:
        line["event"] = extra["event"].number
        line["name"] = extra["event"].name
        line.update(extra["values"])
    else:
        line["message"] = record["message"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line, default=str)


def _format_record(record) -> str:
    record["extra"]["line"] = _json_line(record)
    return "{extra[line]}\n"


def configure_logging(*, level: str = "INFO", sink=None) -> None:
    """Write log events to a sink, each as a JSON object on its own line.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    sink : file object, callable or str, optional
        File object, function of a line or path of a file; default standard error.
    """
    logger.remove()
    logger.add(sink or sys.stderr, level=level, format=_format_record, backtrace=False)
