"""Generates the requests of a plan from a seed, before the run."""

import json
import math
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from .plan import LoadPlan, LoadStream

__all__ = ["PlannedRequest", "generate_requests"]

MEDIAN_VANISH_DELAY = timedelta(seconds=0.4)
"""Median time after which a caller that vanishes disconnects."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PlannedRequest:
    """One request and its planned send time.

    Parameters
    ----------
    mark : str
        Unique text that identifies the request in the stand-ins' logs.
    stream : LoadStream
        The stream to which it belongs.
    workspace : str
        The workspace that sends it.
    offset : timedelta
        Planned send time, from the start of the run.
    body : bytes
        Body of the HTTP request.
    output_tokens : int
        Length of the answer in tokens; 0 for plain services.
    vanish_after : timedelta or None
        Time from the first send until its caller disconnects; None if it does not.
    is_slow : bool
        Whether its caller reads the answer slowly.
    """

    mark: str
    stream: LoadStream
    workspace: str
    offset: timedelta
    body: bytes
    output_tokens: int
    vanish_after: timedelta | None
    is_slow: bool


def _rate_at(stream: LoadStream, offset_s: float) -> float:
    """Return the request rate at a time of the run, in requests per second."""
    start = stream.burst_start.total_seconds()
    end = start + stream.burst_length.total_seconds()
    is_in_burst = start <= offset_s < end
    return stream.rate * (stream.burst_factor if is_in_burst else 1)


def _generate_arrivals(
    stream: LoadStream, duration_s: float, random: Random
) -> list[float]:
    """Return the send times of a stream, in seconds from the start of the run.

    The arrivals are a Poisson process of variable rate, made by thinning one of the
    peak rate.
    """
    peak_rate = stream.rate * max(1.0, stream.burst_factor)
    offsets, offset_s = [], 0.0
    while True:
        offset_s += random.expovariate(peak_rate)
        if offset_s >= duration_s:
            return offsets
        if random.random() * peak_rate < _rate_at(stream, offset_s):
            offsets.append(offset_s)


def _draw_output_tokens(stream: LoadStream, random: Random) -> int:
    """Draw the length of an answer from the log-normal distribution of its stream."""
    length = random.lognormvariate(math.log(stream.output_tokens), stream.output_spread)
    return max(1, min(stream.output_limit, round(length)))


def _random_words(random: Random, count: int) -> str:
    return " ".join(f"w{random.randrange(100_000)}" for _ in range(count))


def _make_prompt(stream: LoadStream, random: Random) -> str:
    """Return a prompt of unique words after the prefix of a random session, if any."""
    unique_words = _random_words(random, stream.prompt_tokens)
    if not stream.sessions:
        return unique_words
    session = Random(f"{stream.name}/{random.randrange(stream.sessions)}")
    return f"{_random_words(session, stream.prefix_tokens)} {unique_words}"


def _make_chat_body(
    stream: LoadStream, mark: str, tokens: int, random: Random
) -> bytes:
    body = {
        "model": stream.model,
        "messages": [{"role": "user", "content": _make_prompt(stream, random)}],
        "stream": stream.is_streamed,
        "max_tokens": stream.output_limit,
        "metadata": {"mark": mark, "output_tokens": tokens},
    }
    return json.dumps(body).encode()


def _make_service_body(stream: LoadStream, mark: str) -> bytes:
    if stream.method == "GET":
        return b""
    return json.dumps({"record": mark}).encode()


def _make_request(
    stream: LoadStream, number: int, offset_s: float, random: Random
) -> PlannedRequest:
    mark = f"{stream.name}-{number}"
    is_chat = bool(stream.model)
    tokens = _draw_output_tokens(stream, random) if is_chat else 0
    body = (
        _make_chat_body(stream, mark, tokens, random)
        if is_chat
        else _make_service_body(stream, mark)
    )
    will_vanish = random.random() < stream.vanish
    return PlannedRequest(
        mark=mark,
        stream=stream,
        workspace=random.choice(stream.workspaces.split()),
        offset=timedelta(seconds=offset_s),
        body=body,
        output_tokens=tokens,
        vanish_after=MEDIAN_VANISH_DELAY * random.uniform(0, 2)
        if will_vanish
        else None,
        is_slow=random.random() < stream.slow,
    )


def generate_requests(plan: LoadPlan, *, seed: int) -> list[PlannedRequest]:
    """Return the requests of a plan in order of their planned send times.

    Parameters
    ----------
    plan : LoadPlan
        The plan.
    seed : int
        Seed of the random draws; the same seed gives the same requests.
    """
    duration_s = plan.settings.duration.total_seconds()
    requests = []
    for stream in plan.streams:
        random = Random(f"{seed}/{stream.name}")
        offsets = _generate_arrivals(stream, duration_s, random)
        requests += [
            _make_request(stream, number, offset_s, random)
            for number, offset_s in enumerate(offsets)
        ]
    return sorted(requests, key=lambda request: request.offset)
