"""Parser of server-sent events in the bytes of a response."""

import codecs

import assel
from result import Err, Ok, Result

from .core import AnswerError

__all__ = ["MAX_EVENT_CHARS", "EventReader"]

MAX_EVENT_CHARS = 1024 * 1024
"""Maximum length of a line of an event, in characters."""


class EventReader:
    """Incremental parser of the server-sent events of one response.

    Notes
    -----
    assel 1.0 shares one UTF-8 decoder between all parsers: a character split
    between two reads of one response would corrupt another response.  Each reader
    therefore has its own decoder.
    """

    __slots__ = ("parser",)

    def __init__(self):
        self.parser = assel.Parser()
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        self.parser.line_decoder.utf8dec = decoder

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
        if len(self.parser.line_decoder.buffer) > MAX_EVENT_CHARS:
            return Err(
                AnswerError(f"event line is longer than {MAX_EVENT_CHARS} characters")
            )
        return Ok([event.data.replace("\n", " ") for event in events])
