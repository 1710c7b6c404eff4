"""Chat requests that measure times, and readings of processes."""

import asyncio
import json
from dataclasses import dataclass

import psutil
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from ..clock import Clock
from ..load.answers import ReceivedAnswer
from ..standins.fleet import MODEL

__all__ = ["ProbeAnswer", "ProcessReading", "probe", "read_process"]

PROBE_TIMEOUT_SECONDS = 120
"""Longest time of one probe, in seconds."""

BYTES_PER_MEGABYTE = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeAnswer:
    """What one probe saw.

    Parameters
    ----------
    first_token_s : float
        Seconds from sending to the first token.
    tokens : int
        Tokens received.
    gaps_s : list of float
        Seconds between tokens.
    is_ended : bool
        Whether the answer's end was seen.
    """

    first_token_s: float
    tokens: int
    gaps_s: list[float]
    is_ended: bool


async def probe(
    client: CurlAsyncHTTPClient, url: str, *, name: str, tokens: int, clock: Clock
) -> ProbeAnswer:
    """Send one streamed chat request and time its tokens.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client to send with.
    url : str
        Entry process or engine.
    name : str
        Text that makes the request differ from others.
    tokens : int
        Length of the answer.
    clock : Clock
        Clock of the experiment.
    """
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": name}],
        "stream": True,
        "metadata": {"mark": name, "output_tokens": tokens},
    }
    answer = ReceivedAnswer(is_events=True)
    sent = clock()
    request = HTTPRequest(
        f"{url}/v1/chat/completions",
        method="POST",
        body=json.dumps(body),
        headers={"Content-Type": "application/json"},
        streaming_callback=lambda data: answer.receive(data, clock()),
        request_timeout=PROBE_TIMEOUT_SECONDS,
    )
    await client.fetch(request)
    times = [(moment - sent).total_seconds() for moment in answer.token_times]
    return ProbeAnswer(
        first_token_s=times[0],
        tokens=len(times),
        gaps_s=[
            later - sooner for sooner, later in zip(times, times[1:], strict=False)
        ],
        is_ended=answer.is_ended,
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class ProcessReading:
    """Processor time in seconds and resident memory in megabytes."""

    cpu_s: float
    memory_mb: float


def read_process(pid: int) -> ProcessReading:
    """Read a process's processor time and memory."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return ProcessReading(
        cpu_s=times.user + times.system,
        memory_mb=process.memory_info().rss / BYTES_PER_MEGABYTE,
    )


async def gather_probes(tasks: list[asyncio.Task]) -> list[ProbeAnswer]:
    """Wait for all probes."""
    return list(await asyncio.gather(*tasks))
