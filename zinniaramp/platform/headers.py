"""Platform headers of callers' requests, forwarded requests and answers."""

from datetime import timedelta

from tornado.httputil import HTTPHeaders

from ..gateway.messages import (
    AnswerMetadata,
    HeaderCodec,
    RequestMetadata,
    UpstreamMetadata,
)
from ..placement.prompts import Demand, PromptSegment
from ..reads import parse_retry_after

__all__ = ["make_header_codec"]

REQUEST_ID = "Zinniaramp-Request-Id"
DEADLINE_MS = "Zinniaramp-Deadline-Ms"
PREFIX_HASH = "Zinniaramp-Prefix-Hash"
TOKEN_USAGE = "Zinniaramp-Token-Usage"
MODEL = "Zinniaramp-Model"
LENGTH_HINT = "Zinniaramp-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
SERVER_STAMP = "Zinniaramp-Server-Stamp"
INSTANCE_ID = "Zinniaramp-Instance-Id"
NOT_EXECUTED = "Zinniaramp-Not-Executed"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
COLD_MS = "Zinniaramp-Cold-Ms"
EXPECT_INSTANCE = "Zinniaramp-Expect-Instance"
WORKSPACE = "Zinniaramp-Tenant"
URGENCY_LEVEL = "Zinniaramp-Urgency-Level"
AUTHORIZATION = "Authorization"

BEARER_SCHEME = "bearer "
"""Authorization scheme of a caller's API key, in lower case."""

MISDIRECTED_REQUEST = 421
"""Status that an endpoint returns if the request names another endpoint."""

SERVICE_UNAVAILABLE = 503
"""Status with which an endpoint sheds a request; it may add ``Retry-After``."""

LEAVING = "1"
"""Value of `SERVER_LEAVING` in the answers of an endpoint that leaves."""

LOWEST_URGENCY = 9
"""Least urgent level that endpoints support; 0 is the most urgent."""

MAX_SEGMENTS = 64
"""Maximum number of segments parsed per prompt; the platform uses at most three."""

MAX_DIGITS = 12
"""Maximum length of a number in a header."""

STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        WORKSPACE,
        URGENCY_LEVEL,
        "Zinniaramp-Expect-Version",
        "Zinniaramp-Pin-Ms",
        "Zinniaramp-Kv-Hold",
        "Zinniaramp-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers of a caller that are not forwarded: only the system may set them.

Names are in lower case.
"""

PROTECTED_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        PREFIX_HASH,
        TOKEN_USAGE,
        MODEL,
        LENGTH_HINT,
        LAST_EVENT_ID,
        "Host",
    )
)
"""Headers that describe the request, in lower case.

They are forwarded even if the caller's ``Connection`` header names them.
"""


def _parse_number(text: str | None) -> int | None:
    if not text or not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _parse_segment(text: str) -> PromptSegment | None:
    name, _, tokens = text.strip().partition(":")
    count = _parse_number(tokens)
    if not name or count is None:
        return None
    return PromptSegment(name=name, tokens=count)


def _parse_segments(text: str) -> tuple[PromptSegment, ...]:
    parts = (
        [_parse_segment(segment) for segment in text.split(",")[:MAX_SEGMENTS]]
        if text
        else []
    )
    if any(part is None for part in parts):
        return ()
    return tuple(parts)


def _parse_demand(headers: HTTPHeaders) -> Demand | None:
    counts = [
        _parse_number(count.strip())
        for count in headers.get(TOKEN_USAGE, "").split(",")
    ]
    if len(counts) != 2 or None in counts:
        return None
    prompt, limit = counts
    hint = _parse_number(headers.get(LENGTH_HINT))
    return Demand(
        prompt_tokens=prompt,
        output_limit=limit,
        output_estimate=min(limit, hint) if hint else limit,
        parts=_parse_segments(headers.get(PREFIX_HASH, "")),
    )


def _parse_api_key(headers: HTTPHeaders) -> str:
    value = headers.get(AUTHORIZATION, "")
    if not value.lower().startswith(BEARER_SCHEME):
        return ""
    return value[len(BEARER_SCHEME) :].strip()


def _read_request(headers: HTTPHeaders) -> RequestMetadata:
    deadline = _parse_number(headers.get(DEADLINE_MS))
    return RequestMetadata(
        id=headers.get(REQUEST_ID, ""),
        host=headers.get("Host", ""),
        key=_parse_api_key(headers),
        time_left=None if deadline is None else timedelta(milliseconds=deadline),
        last_event_id=headers.get(LAST_EVENT_ID),
        resumes=headers.get(RESUMES),
        demand=_parse_demand(headers),
    )


def _write_request(headers: HTTPHeaders, upstream: UpstreamMetadata) -> HTTPHeaders:
    sent = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in STRIPPED_HEADERS:
            sent.add(name, value)
    sent[DEADLINE_MS] = str(max(1, upstream.time_left // timedelta(milliseconds=1)))
    sent[EXPECT_INSTANCE] = upstream.endpoint_id
    if upstream.workspace:
        sent[WORKSPACE] = upstream.workspace
    if upstream.urgency is not None:
        sent[URGENCY_LEVEL] = str(min(LOWEST_URGENCY, upstream.urgency))
    if upstream.last_event_id is not None:
        sent[LAST_EVENT_ID] = upstream.last_event_id
    return sent


def _parse_limit(text: str) -> float | None:
    """Return a limit in requests per second; None if it is not a decimal number."""
    is_decimal = text.isascii() and text.replace(".", "", 1).isdigit()
    return float(text) if is_decimal and len(text) <= MAX_DIGITS else None


def _read_answer(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    # Another endpoint than the one addressed answers that a request is misdirected.
    is_other = status == MISDIRECTED_REQUEST
    is_shed = status == SERVICE_UNAVAILABLE
    limit_text = None if is_other else headers.get(SERVER_LIMIT)
    limit = None if limit_text is None else _parse_limit(limit_text)
    cold_ms = None if is_other else _parse_number(headers.get(COLD_MS))
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        is_signed=SERVER_STAMP in headers,
        reports_not_run=NOT_EXECUTED in headers or is_other,
        reports_leaving=headers.get(SERVER_LEAVING) == LEAVING and not is_other,
        retry_after=parse_retry_after(headers) if is_shed else None,
        limit=limit,
        states_no_limit=limit_text is None and not is_other,
        cold_remaining=timedelta(milliseconds=cold_ms or 0),
    )


def make_header_codec() -> HeaderCodec:
    """Return the functions that parse and set the platform's headers."""
    return HeaderCodec(
        read_request=_read_request,
        write_request=_write_request,
        read_answer=_read_answer,
        protected_headers=PROTECTED_HEADERS,
    )
