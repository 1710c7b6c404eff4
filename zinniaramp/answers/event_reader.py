"""Reading server-sent events from the bytes of one response."""

import codecs

import assel
from result import Err, Ok, Result

from .core import AnswerError

__all__ = ["MAX_EVENT_CHARS", "EventReader"]

MAX_EVENT_CHARS = 1024 * 1024
"""Longest line of one event, in characters."""


class EventReader:
    """Reads server-sent events from the bytes of one response.

    Notes
    -----
    Version 1.0 of assel shares one UTF-8 decoder among all parsers: a character
    that is split between two reads of one response would spoil another's.  Each
    reader therefore has a decoder of its own.
    """

    __slots__ = ("parser",)

    def __init__(self):
        self.parser = assel.Parser()
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        self.parser.line_decoder.utf8dec = decoder

    def read(self, data: bytes) -> Result[list[str], AnswerError]:
        """Return the data of each event that the bytes complete, on one line each.

        Parameters
        ----------
        data : bytes
            Bytes as received, with any boundaries.

        Returns
        -------
        Result
            The events in order; or `AnswerError`, after which the reader must not
            be used any more.
        """
        events = self.parser.receive_bytes(data)
        if len(self.parser.line_decoder.buffer) > MAX_EVENT_CHARS:
            return Err(AnswerError(f"event is longer than {MAX_EVENT_CHARS}"))
        return Ok([event.data.replace("\n", " ") for event in events])
