"""The report of a run: attainment by class, goodput, wasted work, outcomes."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from datetime import timedelta
from pathlib import Path

from hdrh.histogram import HdrHistogram

from ..declarations import ClassDeclaration, Declarations, resolve_class
from .executions import Execution
from .records import CallerOutcome, CallerRecord

__all__ = ["ClassReport", "RunReport", "make_report", "read_report", "write_report"]

HIGHEST_MICROSECONDS = 3_600_000_000
"""Longest latency that a histogram tells apart: one hour, in microseconds."""

SIGNIFICANT_DIGITS = 3
"""Precision of the histograms."""

MILLISECONDS = timedelta(milliseconds=1)

SENT_BY_WILL = (CallerOutcome.VANISHED,)
"""Fates that are the caller's own doing and count for no attainment."""


@dataclass(slots=True, kw_only=True)
class Percentiles:
    """Percentiles of a latency, in milliseconds."""

    p50: float
    p95: float
    p99: float


@dataclass(slots=True, kw_only=True)
class ClassReport:
    """One class's part of a report.

    Parameters
    ----------
    class_name : str
        The class.
    requests : int
        Requests planned.
    fates : dict
        Number of requests by `CallerOutcome`.
    first_token_attained, between_tokens_attained, finish_attained : float
        Share of the requests that met the declared target; a request without a
        whole answer met none.  Callers that vanished do not count.
    first_token, gap, finish : Percentiles
        Latencies from the planned send time, of whole answers.
    tokens : int
        Tokens of whole answers.
    good_tokens : int
        Tokens of whole answers that met their first-token and finish targets.
    """

    class_name: str
    requests: int
    fates: dict[str, int]
    first_token_attained: float
    between_tokens_attained: float
    finish_attained: float
    first_token: Percentiles
    gap: Percentiles
    finish: Percentiles
    tokens: int
    good_tokens: int


@dataclass(slots=True, kw_only=True)
class RunReport:
    """The report of one run.

    Parameters
    ----------
    plan : str
        Name of the plan.
    seed : int
        Seed of the run.
    duration_s : float
        Seconds during which requests were sent.
    classes : list of ClassReport
        In order of class name.
    goodput : float
        Good tokens a second.
    generated_tokens, wasted_tokens : int
        Tokens that the engines generated, and those of them that were not part of
        a whole answer, other than for callers that vanished.
    doubled_marks : list of str
        Requests that ran more than once though they may not be repeated.
    untrue_not_run : list of str
        Requests that ran though their callers were told ``not-run``.
    all_whole : bool
        Whether every answer that arrived was whole, and none is missing.
    """

    plan: str
    seed: int
    duration_s: float
    classes: list[ClassReport]
    goodput: float
    generated_tokens: int
    wasted_tokens: int
    doubled_marks: list[str]
    untrue_not_run: list[str]
    all_whole: bool

    def meets_guarantees(self) -> bool:
        """Tell whether all was whole, nothing ran twice, and not-run was true."""
        return self.all_whole and not self.doubled_marks and not self.untrue_not_run


def _percentiles(values: list[timedelta]) -> Percentiles:
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value / timedelta(microseconds=1))))
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e3 for p in (50, 95, 99))
    return Percentiles(p50=p50, p95=p95, p99=p99)


def _share(count: int, total: int) -> float:
    return count / total if total else 1.0


def _class_of(record: CallerRecord, declarations: Declarations) -> ClassDeclaration:
    return resolve_class(declarations, record.class_name, record.workspace)


def _met_first_token(record: CallerRecord, declared: ClassDeclaration) -> bool:
    return (
        record.fate is CallerOutcome.WHOLE
        and record.first_token <= declared.first_token
    )


def _met_between_tokens(record: CallerRecord, declared: ClassDeclaration) -> bool:
    if record.fate is not CallerOutcome.WHOLE:
        return False
    if not record.gaps:
        return True
    mean = sum(record.gaps, timedelta(0)) / len(record.gaps)
    return mean <= declared.between_tokens


def _met_finish(record: CallerRecord, declared: ClassDeclaration) -> bool:
    return record.fate is CallerOutcome.WHOLE and record.finish <= declared.finish


def _class_report(
    class_name: str, records: list[CallerRecord], declarations: Declarations
) -> ClassReport:
    def met(
        some: list[CallerRecord],
        is_met: Callable[[CallerRecord, ClassDeclaration], bool],
    ) -> list[CallerRecord]:
        return [one for one in some if is_met(one, _class_of(one, declarations))]

    judged = [one for one in records if one.fate not in SENT_BY_WILL]
    whole = [one for one in records if one.fate is CallerOutcome.WHOLE]
    met_first = met(judged, _met_first_token)
    met_finish = met(judged, _met_finish)
    met_between = met(judged, _met_between_tokens)
    good = met(met_first, _met_finish)
    return ClassReport(
        class_name=class_name,
        requests=len(records),
        fates=dict(Counter(one.fate.value for one in records)),
        first_token_attained=_share(len(met_first), len(judged)),
        between_tokens_attained=_share(len(met_between), len(judged)),
        finish_attained=_share(len(met_finish), len(judged)),
        first_token=_percentiles([one.first_token for one in whole]),
        gap=_percentiles([gap for one in whole for gap in one.gaps]),
        finish=_percentiles([one.finish for one in whole]),
        tokens=sum(one.tokens for one in whole),
        good_tokens=sum(one.tokens for one in good),
    )


def _wasted_tokens(records: list[CallerRecord], executions: list[Execution]) -> int:
    delivered = {one.mark for one in records if one.fate is CallerOutcome.WHOLE}
    own_doing = {one.mark for one in records if one.fate in SENT_BY_WILL}
    wasted = 0
    for execution in executions:
        if execution.mark in own_doing:
            continue
        if execution.mark in delivered and not execution.was_cancelled:
            delivered.discard(execution.mark)
            continue
        wasted += execution.tokens
    return wasted


def _doubled_marks(
    records: list[CallerRecord],
    executions: list[Execution],
    declarations: Declarations,
) -> list[str]:
    runs = Counter(execution.mark for execution in executions)
    return [
        one.mark
        for one in records
        if runs[one.mark] > 1 and not _class_of(one, declarations).repeatable
    ]


def _untrue_not_run(
    records: list[CallerRecord], executions: list[Execution]
) -> list[str]:
    ran = {execution.mark for execution in executions}
    return [
        one.mark
        for one in records
        if one.outcome == "not-run"
        and one.fate is CallerOutcome.REFUSED
        and one.mark in ran
        if one.sends == 1
    ]


def make_report(
    records: list[CallerRecord],
    executions: list[Execution],
    declarations: Declarations,
    *,
    plan: str,
    seed: int,
    duration: timedelta,
) -> RunReport:
    """Judge a run by what callers and stand-ins saw.

    Parameters
    ----------
    records : list of CallerRecord
        What the callers saw.
    executions : list of Execution
        What the stand-ins ran; empty if they were not asked.
    declarations : Declarations
        Targets by class and workspace.
    plan : str
        Name of the plan.
    seed : int
        Seed of the run.
    duration : timedelta
        Time during which requests were sent.

    Returns
    -------
    RunReport
        The report.
    """
    class_names = sorted({one.class_name for one in records})
    classes = [
        _class_report(
            name,
            [one for one in records if one.class_name == name],
            declarations,
        )
        for name in class_names
    ]
    bad = (CallerOutcome.WRONG, CallerOutcome.CUT, CallerOutcome.UNANSWERED)
    duration_s = duration.total_seconds()
    return RunReport(
        plan=plan,
        seed=seed,
        duration_s=duration_s,
        classes=classes,
        goodput=sum(one.good_tokens for one in classes) / duration_s,
        generated_tokens=sum(one.tokens for one in executions),
        wasted_tokens=_wasted_tokens(records, executions),
        doubled_marks=_doubled_marks(records, executions, declarations),
        untrue_not_run=_untrue_not_run(records, executions),
        all_whole=not any(one.fate in bad for one in records),
    )


def write_report(report: RunReport, path: Path) -> None:
    """Write a report as JSON."""
    path.write_text(json.dumps(asdict(report), indent=2) + "\n")


def read_report(path: Path) -> RunReport:
    """Read a report back."""
    fields = json.loads(path.read_text())
    for one in fields["classes"]:
        for name in ("first_token", "gap", "finish"):
            one[name] = Percentiles(**one[name])
    fields["classes"] = [ClassReport(**one) for one in fields["classes"]]
    return RunReport(**fields)
