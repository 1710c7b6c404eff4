"""HTTP client of the engine or plain service on the endpoint's host."""

from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httputil import HTTPHeaders

from ..reads import has_whole_head
from .transfer import EngineError, Transfer, end_to_end_headers

__all__ = ["EngineCall", "EngineClient", "EngineOrder"]

ORDER_TIMEOUT = timedelta(seconds=2)
"""Timeout of an order to the engine."""

CONNECT_TIMEOUT = timedelta(seconds=2)
"""Timeout for connecting to the engine, which runs on the same host."""

MAX_ORDER_CONNECTIONS = 16
"""Maximum number of orders sent to the engine concurrently."""

MAX_PAUSED_TRANSFERS = 256
"""Maximum number of transfers beyond the engine's slots, for paused requests."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineCall:
    """One HTTP request to the engine or service.

    Parameters
    ----------
    method, path : str
        HTTP method, and the path with its query.
    headers : list of list of str
        Name and value pairs.
    body : bytes
        Body; may be empty.
    timeout : timedelta
        Timeout of the whole call.
    """

    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    timeout: timedelta


class EngineOrder:
    """Names of orders, which are control operations on one request at the engine."""

    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


class EngineClient:
    """HTTP client of one engine or plain service.

    Parameters
    ----------
    url : str
        Base URL.
    width : int
        Number of requests that the engine runs concurrently.

    Notes
    -----
    libcurl repeats a request if a reused connection turns out to be closed.  To
    send each request at most once, each attempt uses a new connection, HTTP/2 with
    its own retry rules is disabled, and redirects are not followed.
    """

    def __init__(self, *, url: str, width: int):
        self.url = url.rstrip("/")
        self.attempts = CurlAsyncHTTPClient(
            force_instance=True, max_clients=width + MAX_PAUSED_TRANSFERS
        )
        self.orders = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_ORDER_CONNECTIONS
        )

    def send(self, call: EngineCall) -> Transfer:
        """Start sending one request and return its transfer."""
        transfer = Transfer()
        headers = HTTPHeaders()
        for name, value in call.headers:
            headers.add(name, value)
        outgoing = HTTPHeaders()
        for name, value in end_to_end_headers(headers):
            outgoing.add(name, value)
        request = HTTPRequest(
            self.url + call.path,
            method=call.method,
            headers=outgoing,
            body=call.body or _empty_body(call.method),
            streaming_callback=transfer.on_data,
            prepare_curl_callback=transfer.prepare,
            connect_timeout=CONNECT_TIMEOUT.total_seconds(),
            request_timeout=call.timeout.total_seconds(),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
        )
        transfer.response = self.attempts.fetch(request, raise_error=False)
        transfer.response.add_done_callback(transfer.on_done)
        return transfer

    async def order(self, request_id: str, order: str) -> Result[int, EngineError]:
        """Send the engine an order about one request.

        Parameters
        ----------
        request_id : str
            Identifier of the attempt, which is also the engine's request ID.
        order : str
            One of `EngineOrder`.

        Returns
        -------
        Result
            The HTTP status; or `EngineError` if no response arrived in time.
        """
        head: list[str] = []
        request = HTTPRequest(
            f"{self.url}/v1/requests/{request_id}/{order}",
            method="POST",
            body=b"",
            connect_timeout=CONNECT_TIMEOUT.total_seconds(),
            request_timeout=ORDER_TIMEOUT.total_seconds(),
            follow_redirects=False,
            header_callback=head.append,
        )
        try:
            response = await self.orders.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            return Err(EngineError(f"engine {self.url}: {order}: {error}"))
        if not has_whole_head(head):
            return Err(EngineError(f"engine {self.url}: {order}: no whole answer"))
        return Ok(response.code)


def _empty_body(method: str) -> bytes | None:
    return b"" if method in ("POST", "PUT", "PATCH") else None
