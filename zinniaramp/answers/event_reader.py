"""Parser of server-sent events in the bytes of a response."""

import codecs

import assel
from result import Err, Ok, Result

from .core import AnswerError

__all__ = ["MAX_EVENT_BYTES", "EventReader"]

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, in bytes."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
"""Blank lines that end an event."""


class EventReader:
    """Incremental parser of the server-sent events of one response.

    Notes
    -----
    assel 1.0 shares one UTF-8 decoder between all parsers: a character split
    between two reads of one response would corrupt another response.  Each reader
    therefore has its own decoder.

    Attributes
    ----------
    unfinished : int
        Bytes read after the latest read with the end of an event.
    """

    __slots__ = ("parser", "unfinished")

    def __init__(self):
        self.parser = assel.Parser()
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        self.parser.line_decoder.utf8dec = decoder
        self.unfinished = 0

    def read(self, data: bytes) -> Result[list[str], AnswerError]:
        """Parse bytes and return the data of each completed event.

        Parameters
        ----------
        data : bytes
            Bytes as received; events and characters may be split between calls.

        Returns
        -------
        Result
            The data of the events in order, with line breaks replaced by spaces; or
            `AnswerError`, after which the reader must not be used again.
        """
        events = self.parser.receive_bytes(data)
        has_end = bool(events) or any(end in data for end in EVENT_ENDS)
        self.unfinished = 0 if has_end else self.unfinished + len(data)
        if self.unfinished > MAX_EVENT_BYTES:
            return Err(AnswerError(f"event has more than {MAX_EVENT_BYTES} bytes"))
        return Ok([event.data.replace("\n", " ") for event in events])
