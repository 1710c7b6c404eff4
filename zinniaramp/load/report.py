"""The report of a run: target attainment, goodput, wasted tokens and outcomes."""

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

MAX_LATENCY_MICROSECONDS = 3_600_000_000
"""Largest latency that a histogram can record: one hour, in microseconds."""

SIGNIFICANT_DIGITS = 3
"""Significant decimal digits that the histograms keep."""

MILLISECONDS = timedelta(milliseconds=1)

CALLER_CAUSED = (CallerOutcome.VANISHED,)
"""Outcomes that the caller itself caused; such requests are left out of attainment."""


@dataclass(slots=True, kw_only=True)
class Percentiles:
    """Percentiles of a latency, in milliseconds."""

    p50: float
    p95: float
    p99: float


@dataclass(slots=True, kw_only=True)
class ClassReport:
    """Report on the requests of one class.

    Parameters
    ----------
    class_name : str
        Name of the class.
    requests : int
        Number of requests planned.
    fates : dict
        Number of requests by `CallerOutcome`.
    first_token_attained, between_tokens_attained, finish_attained : float
        Share of the requests that met the declared target.  A request without a
        whole answer meets none.  Requests of callers that vanished do not count.
    first_token, gap, finish : Percentiles
        Time to first token, inter-token latency and time to the end of whole answers.
        The first and last are measured from the planned send time.
    tokens : int
        Number of tokens of whole answers.
    good_tokens : int
        Number of tokens of whole answers that met their first-token and finish
        targets.
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
        Reports by class, in order of class name.
    goodput : float
        Good tokens per second.
    generated_tokens, wasted_tokens : int
        Number of tokens that the engines generated, and number of those that were not
        part of a whole answer.  Tokens for callers that vanished are not wasted.
    doubled_marks : list of str
        Marks of non-repeatable requests that were executed more than once.
    untrue_not_run : list of str
        Marks of requests that were executed although ``not-run`` was reported.
    all_whole : bool
        Whether no answer was wrong, truncated or missing.
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
        """Return whether the run met the guarantees that this report covers.

        These are whole answers, at most one execution of non-repeatable requests, and
        true ``not-run``.
        """
        return self.all_whole and not self.doubled_marks and not self.untrue_not_run


def _percentiles(values: list[timedelta]) -> Percentiles:
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value / timedelta(microseconds=1))))
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e3 for p in (50, 95, 99))
    return Percentiles(p50=p50, p95=p95, p99=p99)


def _ratio(count: int, total: int) -> float:
    """Return `count` / `total`; 1 if there is nothing to count."""
    return count / total if total else 1.0


def _find_class(record: CallerRecord, declarations: Declarations) -> ClassDeclaration:
    return resolve_class(declarations, record.class_name, record.workspace)


def _met_first_token(record: CallerRecord, targets: ClassDeclaration) -> bool:
    return (
        record.fate is CallerOutcome.WHOLE and record.first_token <= targets.first_token
    )


def _met_between_tokens(record: CallerRecord, targets: ClassDeclaration) -> bool:
    """Return whether the mean inter-token latency of an answer met its target."""
    if record.fate is not CallerOutcome.WHOLE:
        return False
    if not record.gaps:
        return True
    mean = sum(record.gaps, timedelta(0)) / len(record.gaps)
    return mean <= targets.between_tokens


def _met_finish(record: CallerRecord, targets: ClassDeclaration) -> bool:
    return record.fate is CallerOutcome.WHOLE and record.finish <= targets.finish


def _class_report(
    class_name: str, records: list[CallerRecord], declarations: Declarations
) -> ClassReport:
    def met(
        candidates: list[CallerRecord],
        is_target_met: Callable[[CallerRecord, ClassDeclaration], bool],
    ) -> list[CallerRecord]:
        return [
            record
            for record in candidates
            if is_target_met(record, _find_class(record, declarations))
        ]

    counted = [record for record in records if record.fate not in CALLER_CAUSED]
    whole = [record for record in records if record.fate is CallerOutcome.WHOLE]
    first_token_met = met(counted, _met_first_token)
    finish_met = met(counted, _met_finish)
    between_tokens_met = met(counted, _met_between_tokens)
    good = met(first_token_met, _met_finish)
    return ClassReport(
        class_name=class_name,
        requests=len(records),
        fates=dict(Counter(record.fate.value for record in records)),
        first_token_attained=_ratio(len(first_token_met), len(counted)),
        between_tokens_attained=_ratio(len(between_tokens_met), len(counted)),
        finish_attained=_ratio(len(finish_met), len(counted)),
        first_token=_percentiles([record.first_token for record in whole]),
        gap=_percentiles([gap for record in whole for gap in record.gaps]),
        finish=_percentiles([record.finish for record in whole]),
        tokens=sum(record.tokens for record in whole),
        good_tokens=sum(record.tokens for record in good),
    )


def _wasted_tokens(records: list[CallerRecord], executions: list[Execution]) -> int:
    """Return the number of generated tokens that were not part of a whole answer.

    For each whole answer, one execution that was not cancelled is not wasted.  Tokens
    for callers that vanished are not counted.
    """
    delivered = {
        record.mark for record in records if record.fate is CallerOutcome.WHOLE
    }
    ended_by_caller = {
        record.mark for record in records if record.fate in CALLER_CAUSED
    }
    wasted = 0
    for execution in executions:
        if execution.mark in ended_by_caller:
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
    """Return the marks of non-repeatable requests that were executed more than once."""
    runs = Counter(execution.mark for execution in executions)
    return [
        record.mark
        for record in records
        if runs[record.mark] > 1 and not _find_class(record, declarations).repeatable
    ]


def _untrue_not_run(
    records: list[CallerRecord], executions: list[Execution]
) -> list[str]:
    """Return the marks of executed requests whose only answer was ``not-run``."""
    executed_marks = {execution.mark for execution in executions}
    return [
        record.mark
        for record in records
        if record.outcome == "not-run"
        and record.fate is CallerOutcome.REFUSED
        and record.mark in executed_marks
        if record.sends == 1
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
    """Make the report of a run from the records of its callers and stand-ins.

    Parameters
    ----------
    records : list of CallerRecord
        Records of the callers.
    executions : list of Execution
        Executions by the stand-ins; empty if their logs were not read.
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
        Report on all classes that occur in `records`.
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
    bad_outcomes = (CallerOutcome.WRONG, CallerOutcome.CUT, CallerOutcome.UNANSWERED)
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
        all_whole=not any(one.fate in bad_outcomes for one in records),
    )


def write_report(report: RunReport, path: Path) -> None:
    """Write a report to a file as JSON."""
    path.write_text(json.dumps(asdict(report), indent=2) + "\n")


def read_report(path: Path) -> RunReport:
    """Read a report that `write_report` wrote."""
    fields = json.loads(path.read_text())
    for class_fields in fields["classes"]:
        for name in ("first_token", "gap", "finish"):
            class_fields[name] = Percentiles(**class_fields[name])
    fields["classes"] = [
        ClassReport(**class_fields) for class_fields in fields["classes"]
    ]
    return RunReport(**fields)
