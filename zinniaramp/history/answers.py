"""Whole answers, true ``not-run``, at most once."""

from collections import Counter
from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .records import History, Limits, Outage, RequestRecord

__all__ = ["check_at_most_once", "check_not_run", "check_whole"]

WRONG = "wrong"
"""CallerOutcome of an answer that is not the request's own."""

UNKNOWN = "unknown"
"""Outcome of requests that may have run."""

MISSING = ("cut", "unanswered")
"""Fates of answers that did not arrive whole."""


def check_whole(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield answers that are wrong, cut or missing.

    Notes
    -----
    An answer that breaks off is not a breach if its entry process was killed or
    stopped meanwhile, for its caller has seen that it is not whole.  Nor is it
    one if its endpoint or engine failed meanwhile and the caller was told so.
    """
    for request in history.requests:
        is_missing = request.fate in MISSING and not _met_outage(history, request)
        if request.fate == WRONG or is_missing:
            evidence = f"its answer was {request.fate}; told '{request.outcome}'"
            yield _breach(Guarantee.WHOLE, request, evidence)


def _met_outage(history: History, request: RequestRecord) -> bool:
    host = request.request_id.rpartition(".")[2]
    return any(
        _overlaps(one, request)
        and (one.url == request.entry or _is_told_of(one, host, request))
        for one in history.outages
    )


def _is_told_of(outage: Outage, host: str, request: RequestRecord) -> bool:
    is_failure = outage.process == host and not outage.is_graceful
    return is_failure and request.outcome == UNKNOWN


def _overlaps(outage: Outage, request: RequestRecord) -> bool:
    if outage.is_graceful and request.sends == 1:
        return outage.start <= request.sent <= outage.end
    return outage.start <= request.ended and outage.end >= request.sent


def check_not_run(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield requests that ran though every answer said ``not-run``."""
    counts = Counter(run.mark for run in history.runs)
    for request in history.requests:
        is_told = 0 < request.sends == request.not_run_answers
        if is_told and counts[request.mark]:
            evidence = f"told not-run, but {_places(history, request)} ran it"
            yield _breach(Guarantee.NOT_RUN, request, evidence)


def check_at_most_once(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield non-repeatable requests that ran more than once."""
    counts = Counter(run.mark for run in history.runs)
    for request in history.requests:
        if not request.is_repeatable and counts[request.mark] > 1:
            evidence = f"ran {counts[request.mark]} times: {_places(history, request)}"
            yield _breach(Guarantee.AT_MOST_ONCE, request, evidence)


def _places(history: History, request: RequestRecord) -> str:
    return ", ".join(one.stand_in for one in history.runs if one.mark == request.mark)


def _breach(promise: Guarantee, request: RequestRecord, evidence: str) -> Breach:
    subject = f"{request.mark} ({request.request_id or 'no id'})"
    return Breach(promise=promise, subject=subject, evidence=evidence)
