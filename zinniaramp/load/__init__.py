"""Open-loop load generator and reports of its runs."""

from .core import run_load
from .plan import LoadPlan, LoadStream, read_plan
from .report import ClassReport, RunReport, make_report, read_report, write_report
from .tables import render_table

__all__ = [
    "ClassReport",
    "LoadPlan",
    "LoadStream",
    "RunReport",
    "make_report",
    "read_plan",
    "read_report",
    "render_table",
    "run_load",
    "write_report",
]
