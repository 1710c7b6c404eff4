"""Whole events of a stream, and where it can be resumed."""

__all__ = ["EventRelay"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
"""Blank lines that end an event."""

ID_FIELD = b"id:"
"""Field of an event that numbers it."""


class EventRelay:
    """Cuts a stream's bytes after whole events and notes the last one's id.

    Attributes
    ----------
    last_event : str or None
        Id of the last event that was passed on.
    in_order : bool
        Whether the ids have only grown.
    """

    __slots__ = ("pending", "last_event", "in_order")

    def __init__(self, *, last_event: str | None):
        self.pending = b""
        self.last_event = last_event
        self.in_order = True

    def take(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now, unchanged."""
        buffered = self.pending + data
        end = max(self._end_of(buffered, mark) for mark in EVENT_ENDS)
        whole, self.pending = buffered[:end], buffered[end:]
        self._note_ids(whole)
        return whole

    def restart(self) -> None:
        """Drop the beginning of an event that its endpoint did not complete."""
        self.pending = b""

    @staticmethod
    def _end_of(data: bytes, mark: bytes) -> int:
        position = data.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if not line.startswith(ID_FIELD):
                continue
            name = line[len(ID_FIELD) :].strip().decode("latin-1")
            self.in_order = self.in_order and _is_after(name, self.last_event)
            self.last_event = name


def _is_after(name: str, previous: str | None) -> bool:
    if previous is None or not (name.isdigit() and previous.isdigit()):
        return True
    return int(name) > int(previous)
