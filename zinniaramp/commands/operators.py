"""Verbs that send requests to a process's operator address: ``status``, ``drain``."""

import asyncio
import json as json_library
from dataclasses import dataclass

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from ..reads import has_whole_head
from .output import EXIT_UNREACHABLE, fail, print_json, verb

__all__ = ["Answer", "base_url", "drain", "send_request", "status"]

CONNECT_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
"""Curl errors of a failed connect; no part of the request was sent."""

TIMEOUT_SECONDS = 10
"""Default timeout of a request, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Answer:
    """Complete HTTP answer of a process."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the parsed body; exit if it is not JSON."""
        try:
            return json_library.loads(self.body)
        except ValueError:
            fail(f"answer is not JSON: {self.body[:80]!r}", EXIT_UNREACHABLE)


def base_url(url: str) -> str:
    """Return a URL without a trailing slash; the scheme defaults to ``http``."""
    return (url if "://" in url else f"http://{url}").rstrip("/")


def send_request(
    url: str,
    *,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = TIMEOUT_SECONDS,
    on_data=None,
    lost_connection_code: int = EXIT_UNREACHABLE,
) -> Answer:
    """Send one request without retries and return the answer; exit if there is none.

    Parameters
    ----------
    url : str
        URL of the request.
    method, headers, body
        HTTP method, headers and body of the request.
    timeout_s : float
        Timeout of the request and its answer, in seconds.
    on_data : callable, optional
        Callback for each chunk of the body as it arrives; the body of the returned
        answer is then empty.
    lost_connection_code : int
        Exit code if the request fails otherwise than by `CONNECT_ERRORS`; a part of
        it may have been sent.
    """
    head: list[str] = []

    async def fetch():
        client = CurlAsyncHTTPClient(force_instance=True)
        return await client.fetch(
            url,
            method=method,
            headers=headers,
            body=body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            request_timeout=timeout_s,
            streaming_callback=on_data,
            raise_error=False,
            header_callback=head.append,
        )

    try:
        response = asyncio.run(fetch())
    except (HTTPError, OSError) as error:
        may_be_sent = getattr(error, "errno", None) not in CONNECT_ERRORS
        code = lost_connection_code if may_be_sent else EXIT_UNREACHABLE
        fail(f"{url}: {error}", code)
    if not has_whole_head(head):
        fail(f"{url}: connection closed within the answer's head", lost_connection_code)
    return Answer(
        status=response.code,
        headers=dict(response.headers.get_all()),
        body=response.body or b"",
    )


def _print_tree(value, indent: int = 0) -> None:
    for key, inner in value.items():
        if isinstance(inner, dict) and inner:
            print(f"{' ' * indent}{key}:")
            _print_tree(inner, indent + 2)
        else:
            print(f"{' ' * indent}{key}: {inner}")


@verb(flags=("json",))
def status(url: str, *, json: bool = False) -> None:
    """Print the current status of a process.

    Parameters
    ----------
    url : str
        The process's operator address.
    json : bool
        Print JSON.
    """
    answer = send_request(f"{base_url(url)}/status")
    if answer.status != 200:
        fail(f"{url}: answered {answer.status}", EXIT_UNREACHABLE)
    if json:
        print_json(answer.json())
    else:
        _print_tree(answer.json())


@verb(flags=("json",))
def drain(url: str, *, json: bool = False) -> None:
    """Request a process to complete all requests in flight and then exit.

    Parameters
    ----------
    url : str
        The process's operator address.
    json : bool
        Print JSON.
    """
    answer = send_request(f"{base_url(url)}/drain", method="POST", body=b"")
    if answer.status != 202:
        fail(f"{url}: answered {answer.status}", EXIT_UNREACHABLE)
    if json:
        print_json(answer.json())
    else:
        print(f"{url}: accepts no new requests; exits when all in flight are complete")
