"""One HTTP request to the engine or plain service, and its response as it arrives."""

import asyncio
from dataclasses import dataclass

import pycurl
from tornado.httpclient import HTTPError
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    parse_response_start_line,
)

from ..sockets import count_unacknowledged

__all__ = [
    "BodyData",
    "EngineError",
    "ResponseHead",
    "Transfer",
    "TransferEnd",
    "end_to_end_headers",
]

MIN_FINAL_STATUS = 200
"""Lowest final status; lower ones are interim responses, or no status."""

NEVER_SENT_ERRORS = {
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_URL_MALFORMAT,
}
"""Errors of libcurl after which no byte of the request can have been sent."""

HOP_BY_HOP_HEADERS = {
    "Connection",
    "Content-Length",
    "Expect",
    "Host",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Te",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
}
"""Headers that are not forwarded: for one connection only, or set by the client.

References
----------
RFC 9110, section 7.6.1.
"""


BODY_FRAMING_HEADERS = frozenset(("Content-Length", "Transfer-Encoding"))
"""Headers that tell where a body ends; without them the connection's end does."""


class EngineError(Exception):
    """The engine cannot be reached, or failed during a response."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseHead:
    """Status and headers of the response."""

    status: int
    headers: list[list[str]]


@dataclass(slots=True, kw_only=True, frozen=True)
class BodyData:
    """Bytes of the response body."""

    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferEnd:
    """Last item of a transfer.

    Parameters
    ----------
    error : EngineError or None
        Why the response is incomplete; None if it is complete.
    is_sent : bool
        Whether any part of the request may have reached the engine.
    """

    error: EngineError | None
    is_sent: bool


TransferItem = ResponseHead | BodyData | TransferEnd


class Transfer:
    """One HTTP request and its response; the request is sent at most once.

    Attributes
    ----------
    items : list of TransferItem
        Items that have arrived and that the caller has not fetched yet.
    is_aborted : bool
        Whether the transfer was aborted.
    arrived : asyncio.Event
        Set while `items` is not empty.
    is_ended : bool
        Whether the last item has been queued, or no more are needed.
    curl : pycurl.Curl or None
        libcurl's handle, from the start of the transfer until its end.
    response : asyncio.Future or None
        Done once libcurl has finished the transfer; the handle may then already be
        in use for another one.
    head : HTTPHeaders
        Response headers received so far.
    status : int
        HTTP status of the response; 0 if unknown.
    has_head : bool
        Whether a final response has begun, with a valid status.
    ends_body : bool
        Whether the end of the connection is the end of the response's body.
    descriptor : int
        File descriptor of the connection.
    unsent_bytes : int
        Bytes of the request that had not reached the engine when libcurl last
        processed the transfer; only known if `ends_body` is true.
    """

    __slots__ = (
        "items",
        "arrived",
        "is_aborted",
        "is_ended",
        "curl",
        "response",
        "head",
        "status",
        "has_head",
        "ends_body",
        "descriptor",
        "unsent_bytes",
    )

    def __init__(self):
        self.items: list[TransferItem] = []
        self.arrived = asyncio.Event()
        self.is_aborted = False
        self.is_ended = False
        self.curl: pycurl.Curl | None = None
        self.response: asyncio.Future | None = None
        self.head = HTTPHeaders()
        self.status = 0
        self.has_head = False
        self.ends_body = False
        self.descriptor = -1
        self.unsent_bytes = 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set options of libcurl that tornado's client does not expose."""
        self.curl = curl
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.on_progress)
        curl.setopt(pycurl.HEADERFUNCTION, self.on_header)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self.on_socket)

    def on_socket(self, descriptor: int, _) -> int:
        """Record the connection's descriptor; 0 makes libcurl continue."""
        self.descriptor = descriptor
        return pycurl.SOCKOPT_OK

    def on_progress(self, _total: int, _received: int, size: int, sent: int) -> int:
        """Return nonzero, which makes libcurl end the transfer, if it was aborted.

        libcurl also calls this at the end of the transfer, before it closes the
        connection.
        """
        if self.ends_body:
            self.unsent_bytes = size - sent + count_unacknowledged(self.descriptor)
        return int(self.is_aborted)

    def on_header(self, line: bytes) -> None:
        """Handle one line of the response head.

        libcurl also delivers the beginning of a line when the connection closes there.
        """
        if not line.endswith(b"\n"):
            return
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            self.head.clear()
            try:
                self.status = parse_response_start_line(text).code
            except HTTPInputError:
                self.status = 0
        elif text:
            self.head.parse_line(text)
        elif self.status >= MIN_FINAL_STATUS:
            self.has_head = True
            self.ends_body = not BODY_FRAMING_HEADERS & set(self.head)
            self.enqueue(
                ResponseHead(status=self.status, headers=end_to_end_headers(self.head))
            )

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the response body; the transfer ends at any others.

        These follow the end of the body, or a head that is not one of a final response
        by its status, though libcurl takes it for one.
        """
        if not self.has_head:
            error = EngineError(f"body of an answer with status {self.status}")
            self.end(TransferEnd(error=error, is_sent=True))
        if self.is_ended:
            self.is_aborted = True
        self.enqueue(BodyData(data=data))

    def on_done(self, future) -> None:
        """Handle the end of the transfer; libcurl's handle may be reused afterwards."""
        self.curl = None
        try:
            future.result()
            self.end(TransferEnd(error=self.find_end_error(), is_sent=True))
        except (HTTPError, OSError, ValueError, KeyError) as error:
            number = getattr(error, "errno", None)
            is_sent = number not in NEVER_SENT_ERRORS
            self.end(TransferEnd(error=EngineError(str(error)), is_sent=is_sent))

    def find_end_error(self) -> EngineError | None:
        """Return why a response that libcurl takes for complete may not be."""
        if self.ends_body and self.unsent_bytes:
            # An engine that fails while it receives the request ends the connection
            # like this.  It resets it only when more of the request arrives.
            return EngineError("connection closed before the end of the request")
        return None

    def enqueue(self, item: TransferItem) -> None:
        """Queue an item unless the transfer has ended."""
        if not self.is_ended:
            self.items.append(item)
            self.arrived.set()

    def end(self, item: TransferEnd) -> None:
        """Queue the last item; later calls have no effect."""
        self.enqueue(item)
        self.is_ended = True

    def finish(self) -> None:
        """Accept nothing more, because the response is known to be complete."""
        self.is_ended = True

    async def wait(self, seconds: float) -> None:
        """Wait until an item arrives, for at most the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self.arrived.wait()
        except TimeoutError:
            return

    def pop_items(self) -> list[TransferItem]:
        """Return and remove the items that have arrived since the last call."""
        items, self.items = self.items, []
        self.arrived.clear()
        return items

    def abort(self) -> None:
        """End the transfer immediately and close its connection."""
        self.is_aborted = True
        self.end(TransferEnd(error=EngineError("aborted"), is_sent=True))
        if self.curl is not None and not self.response.done():
            # libcurl calls `on_progress` only when it processes the transfer, which
            # it may not do again if no more data arrives.  Pausing and continuing
            # the transfer makes libcurl process it.
            self.curl.pause(pycurl.PAUSE_ALL)
            self.curl.pause(pycurl.PAUSE_CONT)


def end_to_end_headers(headers: HTTPHeaders) -> list[list[str]]:
    """Return the headers that are forwarded, as name and value pairs."""
    return [
        [name, value]
        for name, value in headers.get_all()
        if name not in HOP_BY_HOP_HEADERS
    ]
