"""Renders reports as text tables."""

from .records import CallerOutcome
from .report import ClassReport, RunReport

__all__ = ["render_table"]

HEADINGS = [
    "class",
    "requests",
    "whole",
    "refused",
    "unknown",
    "vanished",
    "bad",
    "first token met",
    "between met",
    "finish met",
    "first p50/p99 ms",
    "gap p95 ms",
    "finish p99 ms",
]

BAD_OUTCOMES = (CallerOutcome.WRONG, CallerOutcome.CUT, CallerOutcome.UNANSWERED)


def _row(class_report: ClassReport) -> list[str]:
    fates = class_report.fates
    return [
        class_report.class_name,
        str(class_report.requests),
        str(fates.get(CallerOutcome.WHOLE, 0)),
        str(fates.get(CallerOutcome.REFUSED, 0)),
        str(fates.get(CallerOutcome.UNKNOWN, 0)),
        str(fates.get(CallerOutcome.VANISHED, 0)),
        str(sum(fates.get(fate, 0) for fate in BAD_OUTCOMES)),
        f"{class_report.first_token_attained:.1%}",
        f"{class_report.between_tokens_attained:.1%}",
        f"{class_report.finish_attained:.1%}",
        f"{class_report.first_token.p50:.0f}/{class_report.first_token.p99:.0f}",
        f"{class_report.gap.p95:.0f}",
        f"{class_report.finish.p99:.0f}",
    ]


def _summary_lines(report: RunReport) -> list[str]:
    generated = report.generated_tokens
    wasted = report.wasted_tokens / generated if generated else 0
    return [
        f"goodput {report.goodput:.0f} tokens/s; generated {generated} tokens, "
        f"wasted {wasted:.2%}",
        f"run twice though not repeatable: {len(report.doubled_marks)}; "
        f"told not-run though run: {len(report.untrue_not_run)}; "
        f"every answer whole: {'yes' if report.all_whole else 'no'}",
    ]


def render_table(report: RunReport) -> str:
    """Return a report as a text table with one line for each class."""
    rows = [HEADINGS, *(_row(one) for one in report.classes)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    lines = [f"{report.plan}, seed {report.seed}, {report.duration_s:g} s"]
    for row in rows:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells))
    return "\n".join([*lines, *_summary_lines(report)])
