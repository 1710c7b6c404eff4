"""Numbered events: declared once beside the code that emits them."""

import json
import sys
from dataclasses import dataclass

from loguru import logger

__all__ = ["Event", "configure_logging", "declare_event", "declared_events", "emit"]

_EVENTS: dict[int, "Event"] = {}


@dataclass(slots=True, kw_only=True, frozen=True)
class Event:
    """One kind of log line.

    Parameters
    ----------
    number : int
        Number that never changes; each subpackage has a hundred of its own.
    name : str
        Short name in lower case with hyphens.
    level : str
        Level name of loguru.
    meaning : str
        One sentence for the catalogue.
    fields : tuple of str
        Names of the values that the line carries.
    """

    number: int
    name: str
    level: str
    meaning: str
    fields: tuple[str, ...]


def declare_event(
    *, number: int, name: str, level: str, meaning: str, fields: tuple[str, ...] = ()
) -> Event:
    """Declare a kind of log line and return it.

    Raises
    ------
    ValueError
        The number is taken; choose the next free one of the subpackage's hundred.
    """
    if number in _EVENTS:
        raise ValueError(
            f"event number {number} is taken by {_EVENTS[number].name}; "
            "choose the next free number of the subpackage"
        )
    event = Event(number=number, name=name, level=level, meaning=meaning, fields=fields)
    _EVENTS[number] = event
    return event


def declared_events() -> list[Event]:
    """Return every event declared by the modules imported so far, by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def emit(event: Event, **values) -> None:
    """Write one log line.

    Parameters
    ----------
    event : Event
        What happened.
    **values
        The event's fields; values that JSON can carry.
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


def _format(record) -> str:
    record["extra"]["line"] = _json_line(record)
    return "{extra[line]}\n"


def configure_logging(*, level: str = "INFO", sink=None) -> None:
    """Write log lines as JSON objects, one a line.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    sink : file object or str, optional
        Where to write; standard error if left out.
    """
    logger.remove()
    logger.add(sink or sys.stderr, level=level, format=_format, backtrace=False)
