"""Splitting of a stream of server-sent events, and its resume position."""

__all__ = ["EventRelay"]

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
"""Blank lines that terminate an event."""

ID_FIELD_PREFIX = b"id:"
"""Start of the line that carries an event's id."""


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
        Whether numeric ids have strictly increased.
    pending : bytes
        Start of an event that is not complete yet.
    """

    __slots__ = ("pending", "last_event_id", "in_order")

    def __init__(self, *, last_event_id: str | None):
        self.pending = b""
        self.last_event_id = last_event_id
        self.in_order = True

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return those of the events that are now complete."""
        buffered = self.pending + data
        end = max(self._end_of(buffered, mark) for mark in EVENT_TERMINATORS)
        whole, self.pending = buffered[:end], buffered[end:]
        self._record_ids(whole)
        return whole

    def discard_partial_event(self) -> None:
        """Discard the start of an event that an endpoint did not complete."""
        self.pending = b""

    @staticmethod
    def _end_of(data: bytes, mark: bytes) -> int:
        position = data.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    @property
    def problem(self) -> str:
        """Why the bytes so far can't be those of the stream; empty if they can."""
        if not self.in_order:
            return "events out of order"
        if len(self.pending) > MAX_EVENT_BYTES:
            return f"event with more than {MAX_EVENT_BYTES} bytes"
        return ""

    def _record_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if not line.startswith(ID_FIELD_PREFIX):
                continue
            name = line[len(ID_FIELD_PREFIX) :].strip().decode("latin-1")
            self.in_order = self.in_order and _is_after(name, self.last_event_id)
            self.last_event_id = name


def _is_after(name: str, previous: str | None) -> bool:
    if previous is None or not (name.isdigit() and previous.isdigit()):
        return True
    return int(name) > int(previous)
