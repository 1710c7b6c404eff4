"""Client of the engine beside the endpoint process."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import assel
from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.queues import Queue

from ..contracts import Offer

__all__ = ["EngineError", "EngineEvent", "stream_chat"]


class EngineError(Exception):
    """The engine cannot be reached, or failed while it answered."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineEvent:
    """One server-sent event of an answer."""

    data: str


async def stream_chat(
    client: CurlAsyncHTTPClient, base_url: str, offer: Offer
) -> AsyncIterator[Result[EngineEvent, EngineError]]:
    """Run one attempt at the engine and yield its events.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client with at least as many connections as the engine has slots.
    base_url : str
        URL of the engine.
    offer : Offer
        The attempt.

    Yields
    ------
    Result
        An `EngineEvent`; or, as the last item, `EngineError`.
    """
    parser = assel.Parser()
    events: Queue = Queue()

    def on_data(data: bytes) -> None:
        for event in parser.receive_bytes(data):
            events.put_nowait(Ok(EngineEvent(data=event.data)))

    request = HTTPRequest(
        base_url + offer.path,
        method=offer.method,
        body=offer.body,
        headers={"Content-Type": "application/json"},
        streaming_callback=on_data,
        request_timeout=offer.deadline_s,
        follow_redirects=False,
    )
    future = client.fetch(request)
    future.add_done_callback(lambda _: events.put_nowait(None))
    while (item := await events.get()) is not None:
        yield item
    try:
        future.result()
    except (HTTPError, OSError) as error:
        yield Err(EngineError(f"engine {base_url}: {error}"))
