"""The requests of a plan, worked out beforehand from a seed."""

import json
import math
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from .plan import LoadPlan, LoadStream

__all__ = ["PlannedRequest", "generate_requests"]

VANISH_AFTER = timedelta(seconds=0.4)
"""Median time after which a caller that vanishes goes away."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PlannedRequest:
    """One request and when it is to be sent.

    Parameters
    ----------
    mark : str
        Unique text by which the stand-ins' logs name the request.
    stream : LoadStream
        The stream that it belongs to.
    workspace : str
        The workspace that sends it.
    offset : timedelta
        When it is to be sent, from the start of the run.
    body : bytes
        The request's body.
    output_tokens : int
        Length of the answer; 0 for plain services.
    vanish_after : timedelta or None
        When its caller goes away.
    is_slow : bool
        Whether its caller reads slowly.
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
    start = stream.burst_start.total_seconds()
    end = start + stream.burst_length.total_seconds()
    in_burst = start <= offset_s < end
    return stream.rate * (stream.burst_factor if in_burst else 1)


def _offsets(stream: LoadStream, duration_s: float, random: Random) -> list[float]:
    """Return Poisson arrivals, by thinning those of the highest rate."""
    highest = stream.rate * max(1.0, stream.burst_factor)
    offsets, offset_s = [], 0.0
    while True:
        offset_s += random.expovariate(highest)
        if offset_s >= duration_s:
            return offsets
        if random.random() * highest < _rate_at(stream, offset_s):
            offsets.append(offset_s)


def _output_tokens(stream: LoadStream, random: Random) -> int:
    length = random.lognormvariate(math.log(stream.output_tokens), stream.output_spread)
    return max(1, min(stream.output_limit, round(length)))


def _words(random: Random, count: int) -> str:
    return " ".join(f"w{random.randrange(100_000)}" for _ in range(count))


def _prompt(stream: LoadStream, random: Random) -> str:
    own = _words(random, stream.prompt_tokens)
    if not stream.sessions:
        return own
    session = Random(f"{stream.name}/{random.randrange(stream.sessions)}")
    return f"{_words(session, stream.prefix_tokens)} {own}"


def _chat_body(stream: LoadStream, mark: str, tokens: int, random: Random) -> bytes:
    body = {
        "model": stream.model,
        "messages": [{"role": "user", "content": _prompt(stream, random)}],
        "stream": stream.is_streamed,
        "max_tokens": stream.output_limit,
        "metadata": {"mark": mark, "output_tokens": tokens},
    }
    return json.dumps(body).encode()


def _service_body(stream: LoadStream, mark: str) -> bytes:
    if stream.method == "GET":
        return b""
    return json.dumps({"record": mark}).encode()


def _planned(
    stream: LoadStream, number: int, offset_s: float, random: Random
) -> PlannedRequest:
    mark = f"{stream.name}-{number}"
    is_chat = bool(stream.model)
    tokens = _output_tokens(stream, random) if is_chat else 0
    body = (
        _chat_body(stream, mark, tokens, random)
        if is_chat
        else _service_body(stream, mark)
    )
    does_vanish = random.random() < stream.vanish
    return PlannedRequest(
        mark=mark,
        stream=stream,
        workspace=random.choice(stream.workspaces.split()),
        offset=timedelta(seconds=offset_s),
        body=body,
        output_tokens=tokens,
        vanish_after=VANISH_AFTER * random.uniform(0, 2) if does_vanish else None,
        is_slow=random.random() < stream.slow,
    )


def generate_requests(plan: LoadPlan, *, seed: int) -> list[PlannedRequest]:
    """Return a plan's requests in the order of their times.

    Parameters
    ----------
    plan : LoadPlan
        The plan.
    seed : int
        The same seed gives the same requests.
    """
    duration_s = plan.settings.duration.total_seconds()
    requests = []
    for stream in plan.streams:
        random = Random(f"{seed}/{stream.name}")
        offsets = _offsets(stream, duration_s, random)
        requests += [
            _planned(stream, number, offset_s, random)
            for number, offset_s in enumerate(offsets)
        ]
    return sorted(requests, key=lambda request: request.offset)
