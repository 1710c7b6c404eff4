"""Reads with libcurl of answers of any size."""

import os
import socket
from datetime import timedelta
from typing import Any

import pycurl
from result import Result
from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import Clock
from .core import ReadError, ReadJson, make_transfer_reader
from .transfers import Transfer

__all__ = ["make_curl_reader"]

NO_SOCKET = -1
"""What libcurl names as the socket of a call without a connection."""


def make_curl_reader(client: CurlAsyncHTTPClient, *, clock: Clock) -> ReadJson:
    """Return a function that reads JSON with one GET, without retries or redirects.

    Its timeout is the one of the answer's beginning.  An answer that has begun is given
    up when no more bytes arrive for `STALL_TIMEOUT`.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client that sends the requests.
    clock : Clock
        The process's clock.

    Returns
    -------
    ReadJson
        Coroutine function; it returns `ReadError` on failures instead of raising.
    """

    async def read_json(url: str, timeout: timedelta) -> Result[Any, ReadError]:
        handles: list[pycurl.Curl] = []
        read = make_transfer_reader(
            client,
            transfer=Transfer(clock=clock),
            close=lambda: _shut_down(handles),
            prepare=handles.append,
        )
        answer = await read(url, timeout)
        return answer.map(lambda one: one.document)

    return read_json


def _shut_down(handles: list[pycurl.Curl]) -> None:
    """Shut the connections of calls down; libcurl then ends the calls."""
    for handle in handles:
        descriptor = handle.getinfo(pycurl.ACTIVESOCKET)
        if descriptor == NO_SOCKET:
            continue
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other side has closed it, and the call ends anyway.
                continue
