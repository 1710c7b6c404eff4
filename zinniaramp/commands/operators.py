"""Verbs that talk to one process's operator address: ``status`` and ``drain``."""

import asyncio
import json as json_library
from dataclasses import dataclass

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from .output import EXIT_UNREACHABLE, fail, print_json, verb

__all__ = ["Answer", "base_url", "drain", "exchange", "status"]

NOT_REACHED = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
"""Errors after which nothing of a request was sent."""

TIMEOUT_SECONDS = 10
"""Longest wait for an answer, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Answer:
    """What a process answered."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the body as JSON, or exit if it is not."""
        try:
            return json_library.loads(self.body)
        except ValueError:
            fail(f"answer is not JSON: {self.body[:80]!r}", EXIT_UNREACHABLE)


def base_url(url: str) -> str:
    """Return a URL with its scheme and without a slash at the end."""
    return (url if "://" in url else f"http://{url}").rstrip("/")


def exchange(
    url: str,
    *,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = TIMEOUT_SECONDS,
    on_data=None,
    lost_code: int = EXIT_UNREACHABLE,
) -> Answer:
    """Send one request, never again, and return the answer; exit if there is none.

    Parameters
    ----------
    url : str
        Where to.
    method, headers, body
        What to send.
    timeout_s : float
        Longest wait, in seconds.
    on_data : callable, optional
        Takes the body's pieces as they arrive.
    lost_code : int
        Exit code when the process was reached and then lost.
    """

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
        )

    try:
        response = asyncio.run(fetch())
    except (HTTPError, OSError) as error:
        fail(f"{url}: {error}", EXIT_UNREACHABLE)
    if response.code == 599:
        is_reached = response.error.errno not in NOT_REACHED
        code = lost_code if is_reached else EXIT_UNREACHABLE
        fail(f"{url}: {response.error}", code)
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
    """Print what a process does now.

    Parameters
    ----------
    url : str
        The process's operator address.
    json : bool
        Print JSON.
    """
    answer = exchange(f"{base_url(url)}/status")
    if answer.status != 200:
        fail(f"{url}: answered {answer.status}", EXIT_UNREACHABLE)
    if json:
        print_json(answer.json())
    else:
        _print_tree(answer.json())


@verb(flags=("json",))
def drain(url: str, *, json: bool = False) -> None:
    """Tell a process to finish what is in flight and then exit.

    Parameters
    ----------
    url : str
        The process's operator address.
    json : bool
        Print JSON.
    """
    answer = exchange(f"{base_url(url)}/drain", method="POST", body=b"")
    if answer.status != 202:
        fail(f"{url}: answered {answer.status}", EXIT_UNREACHABLE)
    if json:
        print_json(answer.json())
    else:
        print(f"{url}: takes nothing new; exits when all in flight is finished")
