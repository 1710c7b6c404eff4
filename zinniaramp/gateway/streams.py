"""Splitting of a stream of server-sent events, and its resume position."""

import re
from collections.abc import Iterator

__all__ = ["EventRelay"]

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
"""Blank lines that terminate an event."""

EVENT = re.compile(rb".*?(?:\n\n|\r\n\r\n)", re.DOTALL)
"""Pattern of one event with its terminator."""

FIELD = re.compile(
    rb"(?:\xef\xbb\xbf)?(?:[a-z][a-z0-9_-]*)?:.*|data|event|id|retry|", re.DOTALL
)
"""Pattern of one line of an event: a comment, or a field with a name in lower case.

The standard lets readers ignore unknown fields; no server sends names with other
characters, but status lines and header fields that get into a stream have them."""

ID_FIELD_PREFIX = b"id:"
"""Start of the line that carries an event's id."""

MAX_ID_DIGITS = 18
"""Most digits of an id that counts as a number; 64 bits have 19."""

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, in bytes; those of the platform have a few hundred."""


class EventRelay:
    """Splits a stream's bytes after complete events and tracks the last event's id.

    Parameters
    ----------
    last_event_id : str or None
        Id of the last event that the caller has from an earlier answer.

    Attributes
    ----------
    last_event_id : str or None
        Id of the last complete event, after which the stream can be resumed.
    in_order : bool
        Whether ids that began as numbers have stayed numbers and strictly increased.
    is_well_formed : bool
        Whether all events have consisted of fields and comments.
    pending : bytes
        Start of an event that is not complete yet.
    """

    __slots__ = ("pending", "last_event_id", "in_order", "is_well_formed")

    def __init__(self, *, last_event_id: str | None):
        self.pending = b""
        self.last_event_id = last_event_id
        self.in_order = True
        self.is_well_formed = True

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return those of the events that are now complete.

        Events from the first one on that is out of order or malformed are left out.
        """
        buffered = self.pending + data
        end = max(self._end_of(buffered, mark) for mark in EVENT_TERMINATORS)
        whole, self.pending = buffered[:end], buffered[end:]
        return self._accept(whole)

    def begin_answer(self) -> None:
        """Prepare for another answer, which goes on after `last_event_id`."""
        self.pending = b""
        self.in_order = True
        self.is_well_formed = True

    @staticmethod
    def _end_of(data: bytes, mark: bytes) -> int:
        position = data.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    @property
    def problem(self) -> str:
        """Why the bytes so far can't be those of the stream; empty if they can."""
        if not self.in_order:
            return "events out of order"
        if not self.is_well_formed:
            return "bytes that are no event"
        if len(self.pending) > MAX_EVENT_BYTES:
            return f"event with more than {MAX_EVENT_BYTES} bytes"
        return ""

    def _accept(self, whole: bytes) -> bytes:
        """Record the ids of events, and return the events that are in order."""
        for event in EVENT.finditer(whole):
            if not all(map(FIELD.fullmatch, event[0].splitlines())):
                self.is_well_formed = False
                return whole[: event.start()]
            last = self.last_event_id
            for name in _event_ids(event[0]):
                if not _is_after(name, last):
                    self.in_order = False
                    return whole[: event.start()]
                last = name
            self.last_event_id = last
        return whole


def _event_ids(event: bytes) -> Iterator[str]:
    for line in event.splitlines():
        if line.startswith(ID_FIELD_PREFIX):
            yield line[len(ID_FIELD_PREFIX) :].strip().decode("latin-1")


def _is_after(name: str, previous: str | None) -> bool:
    """Return whether an id can follow another one; numbers have to rise."""
    if previous is None or not _is_number(previous):
        return True
    return _is_number(name) and int(name) > int(previous)


def _is_number(name: str) -> bool:
    # `isdigit` alone is also true of superscripts, which `int` doesn't take.
    return name.isascii() and name.isdigit() and len(name) <= MAX_ID_DIGITS
