"""Headers of the platform: read from callers and endpoints, and set for endpoints."""

from datetime import timedelta

from tornado.httputil import HTTPHeaders

from ..gateway.messages import AnswerFacts, RequestFacts, SendOrders, Wire
from ..placement.prompts import Demand, PromptSegment

__all__ = ["make_wire"]

REQUEST_ID = "Zinniaramp-Request-Id"
DEADLINE = "Zinniaramp-Deadline-Ms"
PREFIX = "Zinniaramp-Prefix-Hash"
TOKENS = "Zinniaramp-Token-Usage"
MODEL = "Zinniaramp-Model"
LENGTH_HINT = "Zinniaramp-Length-Hint"
LAST_EVENT = "Last-Event-Id"
STAMP = "Zinniaramp-Server-Stamp"
INSTANCE = "Zinniaramp-Instance-Id"
NOT_RUN = "Zinniaramp-Not-Executed"
EXPECT_INSTANCE = "Zinniaramp-Expect-Instance"
WORKSPACE = "Zinniaramp-Tenant"
URGENCY = "Zinniaramp-Urgency-Level"
AUTHORIZATION = "Authorization"

SCHEME = "bearer "
"""Scheme of a caller's key, in lower case."""

MISDIRECTED = 421
"""Status of an endpoint that is not the one that the request expects."""

LOWEST_URGENCY = 9
"""Least urgent level that an endpoint knows."""

MAX_PARTS = 64
"""Parts of one prompt that are read; sheets have three at most."""

MAX_DIGITS = 12
"""Digits of one number in a header."""

NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        WORKSPACE,
        URGENCY,
        "Zinniaramp-Expect-Version",
        "Zinniaramp-Pin-Ms",
        "Zinniaramp-Kv-Hold",
        "Zinniaramp-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers of a caller that endpoints must not see: the system sets them."""


KEPT = frozenset(
    name.lower()
    for name in (REQUEST_ID, PREFIX, TOKENS, MODEL, LENGTH_HINT, LAST_EVENT, "Host")
)
"""Headers that say what is asked for; a caller can't have them left out on the way."""


def _number(text: str | None) -> int | None:
    if not text or not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _part(text: str) -> PromptSegment | None:
    name, _, tokens = text.strip().partition(":")
    count = _number(tokens)
    if not name or count is None:
        return None
    return PromptSegment(name=name, tokens=count)


def _parts(text: str) -> tuple[PromptSegment, ...]:
    parts = [_part(one) for one in text.split(",")[:MAX_PARTS]] if text else []
    if any(part is None for part in parts):
        return ()
    return tuple(parts)


def _demand(headers: HTTPHeaders) -> Demand | None:
    counts = [_number(one.strip()) for one in headers.get(TOKENS, "").split(",")]
    if len(counts) != 2 or None in counts:
        return None
    prompt, limit = counts
    hint = _number(headers.get(LENGTH_HINT))
    return Demand(
        prompt_tokens=prompt,
        output_limit=limit,
        output_estimate=min(limit, hint) if hint else limit,
        parts=_parts(headers.get(PREFIX, "")),
    )


def _key(headers: HTTPHeaders) -> str:
    value = headers.get(AUTHORIZATION, "")
    if not value.lower().startswith(SCHEME):
        return ""
    return value[len(SCHEME) :].strip()


def _read_request(headers: HTTPHeaders) -> RequestFacts:
    deadline = _number(headers.get(DEADLINE))
    return RequestFacts(
        id=headers.get(REQUEST_ID, ""),
        host=headers.get("Host", ""),
        key=_key(headers),
        time_left=None if deadline is None else timedelta(milliseconds=deadline),
        last_event=headers.get(LAST_EVENT),
        demand=_demand(headers),
    )


def _write_request(headers: HTTPHeaders, orders: SendOrders) -> HTTPHeaders:
    sent = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in NOT_FORWARDED:
            sent.add(name, value)
    sent[DEADLINE] = str(max(1, orders.time_left // timedelta(milliseconds=1)))
    sent[EXPECT_INSTANCE] = orders.endpoint_id
    if orders.workspace:
        sent[WORKSPACE] = orders.workspace
    if orders.urgency is not None:
        sent[URGENCY] = str(min(LOWEST_URGENCY, orders.urgency))
    if orders.last_event is not None:
        sent[LAST_EVENT] = orders.last_event
    return sent


def _read_answer(status: int, headers: HTTPHeaders) -> AnswerFacts:
    return AnswerFacts(
        request_id=headers.get(REQUEST_ID, ""),
        is_signed=STAMP in headers,
        says_not_run=NOT_RUN in headers or status == MISDIRECTED,
    )


def make_wire() -> Wire:
    """Return the functions that read and write the platform's headers."""
    return Wire(
        read_request=_read_request,
        write_request=_write_request,
        read_answer=_read_answer,
        kept_headers=KEPT,
    )
