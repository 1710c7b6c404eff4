"""Chat requests that measure latencies, and the resource usage of processes."""

import asyncio
import json
from dataclasses import dataclass

import psutil
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from ..clock import Clock
from ..load.answers import ReceivedAnswer
from ..standins.fleet import MODEL

__all__ = ["ProbeAnswer", "ProcessUsage", "read_process_usage", "send_probe"]

PROBE_TIMEOUT_SECONDS = 120
"""Timeout of one probe, in seconds."""

BYTES_PER_MEGABYTE = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeAnswer:
    """Timing of the answer to one probe.

    Parameters
    ----------
    first_token_s : float
        Time to first token in seconds.
    tokens : int
        Tokens received.
    token_intervals_s : list of float
        Inter-token latencies in seconds.
    is_ended : bool
        Whether the end of the answer was received.
    """

    first_token_s: float
    tokens: int
    token_intervals_s: list[float]
    is_ended: bool


async def send_probe(
    client: CurlAsyncHTTPClient, url: str, *, name: str, tokens: int, clock: Clock
) -> ProbeAnswer:
    """Send one streamed chat request and measure when its tokens arrive.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client that sends the request.
    url : str
        URL of an entry process or an engine.
    name : str
        Unique text of the prompt, which is also the mark of the request.
    tokens : int
        Length of the answer in tokens.
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
        token_intervals_s=[
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ],
        is_ended=answer.is_ended,
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class ProcessUsage:
    """Processor time in seconds and resident memory in megabytes of a process."""

    cpu_s: float
    memory_mb: float


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the processor time and the resident memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return ProcessUsage(
        cpu_s=times.user + times.system,
        memory_mb=process.memory_info().rss / BYTES_PER_MEGABYTE,
    )


async def gather_probes(tasks: list[asyncio.Task]) -> list[ProbeAnswer]:
    """Wait for all probes and return their answers."""
    return list(await asyncio.gather(*tasks))
