"""Checks of answers: complete and correct, true ``not-run``, at most once."""

from collections import Counter
from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .records import History, Limits, Outage, RequestRecord

__all__ = ["check_at_most_once", "check_not_run", "check_whole"]

WRONG = "wrong"
"""Value of `fate` for an answer that differs from the expected one."""

UNKNOWN = "unknown"
"""Value of `outcome` for requests that may have been executed."""

INCOMPLETE = ("cut", "unanswered")
"""Values of `fate` for requests without a complete answer."""


def check_whole(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield a breach for each wrong, truncated or missing answer.

    Notes
    -----
    A truncated or missing answer is not a breach if the request's entry process was
    killed or stopped meanwhile, because the caller sees that the answer is
    incomplete.  It is not a breach either if the endpoint or engine failed
    meanwhile and the outcome reported to the caller was ``unknown``.
    """
    for request in history.requests:
        is_unexplained = request.fate in INCOMPLETE and not _is_explained(
            history, request
        )
        if request.fate == WRONG or is_unexplained:
            evidence = (
                f"answer is {request.fate}; reported outcome: '{request.outcome}'"
            )
            yield _breach(Guarantee.WHOLE, request, evidence)


def _is_explained(history: History, request: RequestRecord) -> bool:
    """Return whether an outage accounts for an incomplete answer."""
    host = request.request_id.rpartition(".")[2]
    return any(
        _overlaps(outage, request)
        and (outage.url == request.entry or _is_reported(outage, host, request))
        for outage in history.outages
    )


def _is_reported(outage: Outage, host: str, request: RequestRecord) -> bool:
    """Return whether the caller got ``unknown`` for a failed endpoint process."""
    is_failure = outage.process == host and not outage.is_graceful
    return is_failure and request.outcome == UNKNOWN


def _overlaps(outage: Outage, request: RequestRecord) -> bool:
    """Return whether a request was in flight when the outage could affect it."""
    if outage.is_graceful and request.sends == 1:
        return outage.start <= request.sent <= outage.end
    return outage.start <= request.ended and outage.end >= request.sent


def check_not_run(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield requests that were executed although every answer was ``not-run``."""
    counts = Counter(run.mark for run in history.runs)
    for request in history.requests:
        is_not_run = 0 < request.sends == request.not_run_answers
        if is_not_run and counts[request.mark]:
            evidence = (
                f"reported not-run, but executed by {_executors(history, request)}"
            )
            yield _breach(Guarantee.NOT_RUN, request, evidence)


def check_at_most_once(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield non-repeatable requests that were executed more than once."""
    counts = Counter(run.mark for run in history.runs)
    for request in history.requests:
        if not request.is_repeatable and counts[request.mark] > 1:
            evidence = (
                f"executed {counts[request.mark]} times: {_executors(history, request)}"
            )
            yield _breach(Guarantee.AT_MOST_ONCE, request, evidence)


def _executors(history: History, request: RequestRecord) -> str:
    """Return the stand-ins that executed a request, for the report."""
    return ", ".join(run.stand_in for run in history.runs if run.mark == request.mark)


def _breach(guarantee: Guarantee, request: RequestRecord, evidence: str) -> Breach:
    subject = f"{request.mark} ({request.request_id or 'no id'})"
    return Breach(guarantee=guarantee, subject=subject, evidence=evidence)
