"""Load plans in INI files: request streams, their rates and their callers."""

from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass as checked_dataclass
from result import Err, Ok, Result

from ..ini import (
    Problem,
    Seconds,
    declare_key,
    declare_section_name,
    parse_ini,
    read_section,
)

__all__ = ["LoadPlan", "LoadStream", "PlanSettings", "read_plan"]

_section = checked_dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(extra="forbid", validate_default=True),
)

PLAN_SECTION = "plan"
STREAM_KIND = "stream"


@_section
class PlanSettings:
    """``[plan]``: settings of the whole run."""

    duration: Seconds = declare_key(
        "Time during which requests are sent.", unit="s", gt=0, le=3600
    )
    declarations: str = declare_key(
        "File of declarations with the targets of the report; relative to the plan.",
        default="declarations.ini",
    )
    grace: Seconds = declare_key(
        "Longest wait for answers after the end of `duration`.",
        unit="s",
        default=30,
        ge=0,
        le=600,
    )


@_section
class LoadStream:
    """``[stream NAME]``: one stream of similar requests."""

    name: str = declare_section_name()
    class_name: str = declare_key("Class of the requests.")
    workspaces: str = declare_key("Workspaces of the requests, separated by spaces.")
    rate: float = declare_key(
        "Requests per second, over all workspaces of the stream.",
        unit="1/s",
        gt=0,
        le=5000,
    )
    model: str = declare_key(
        "Model that the requests use; empty for a plain service.", default=""
    )
    service: str = declare_key(
        "Plain service that the requests use; empty for a model.", default=""
    )
    path: str = declare_key(
        "Path of the requests at the plain service.", default="records"
    )
    method: Literal["GET", "POST", "PUT", "DELETE"] = declare_key(
        "HTTP method of the requests to the plain service.", default="POST"
    )
    prompt_tokens: int = declare_key(
        "Words of the prompt that are unique to each request.",
        default=40,
        ge=1,
        le=20_000,
    )
    sessions: int = declare_key(
        "Number of sessions whose prompts share a prefix; 0 for none.",
        default=0,
        ge=0,
        le=10_000,
    )
    prefix_tokens: int = declare_key(
        "Words of the prefix that the prompts of one session share.",
        default=400,
        ge=0,
        le=20_000,
    )
    output_tokens: int = declare_key(
        "Median length of the answers, in tokens.", default=40, ge=1, le=20_000
    )
    output_spread: float = declare_key(
        "Sigma of the log-normal length of the answers; 0 for equal lengths.",
        default=0.6,
        ge=0,
        le=3,
    )
    output_limit: int = declare_key(
        "Largest length of an answer.", unit="tokens", default=2000, ge=1, le=20_000
    )
    is_streamed: bool = declare_key("Whether answers are streamed.", default=True)
    burst_start: Seconds = declare_key(
        "Start of the burst, from the start of the run.", unit="s", default=0, ge=0
    )
    burst_length: Seconds = declare_key(
        "Duration of the burst; 0 for no burst.", unit="s", default=0, ge=0
    )
    burst_factor: float = declare_key(
        "Rate during the burst, as a multiple of `rate`.", default=1, gt=0, le=1000
    )
    vanish: float = declare_key(
        "Share of callers that may disconnect before the end of the answer.",
        default=0,
        ge=0,
        le=1,
    )
    slow: float = declare_key(
        "Share of callers that read the answer slowly.", default=0, ge=0, le=1
    )
    returns: int = declare_key(
        "Largest number of retries by a caller after a refusal.",
        default=0,
        ge=0,
        le=1000,
    )
    heeds_retry_after: bool = declare_key(
        "Whether callers wait for `Retry-After` before a retry, or retry at once.",
        default=True,
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadPlan:
    """A validated plan.

    Parameters
    ----------
    settings : PlanSettings
        Settings of the whole run.
    streams : list of LoadStream
        Streams of requests.
    declarations_path : Path
        File of declarations with the targets of the report.
    """

    settings: PlanSettings
    streams: list[LoadStream]
    declarations_path: Path


def read_plan(path: Path) -> Result[LoadPlan, list[Problem]]:
    """Read and validate a plan.

    Parameters
    ----------
    path : Path
        Path of the INI file.

    Returns
    -------
    Result
        The plan, or all `Problem` instances found.
    """
    match parse_ini(path.read_text(), file=str(path)):
        case Err(problem):
            return Err([problem])
        case Ok(parser):
            return _read_sections(parser, path)


def _read_sections(parser, path: Path) -> Result[LoadPlan, list[Problem]]:
    problems: list[Problem] = []
    settings, streams = None, []
    for heading in parser.sections():
        kind, _, name = heading.partition(" ")
        section_class = PlanSettings if heading == PLAN_SECTION else LoadStream
        given = {"name": name} if kind == STREAM_KIND else {}
        match read_section(
            section_class,
            dict(parser[heading]),
            file=str(path),
            section=heading,
            **given,
        ):
            case Err(found):
                problems.extend(found)
            case Ok(PlanSettings() as section):
                settings = section
            case Ok(section):
                streams.append(section)
    if settings is None and not problems:
        problems.append(_missing_plan(path))
    if problems:
        return Err(problems)
    return Ok(
        LoadPlan(
            settings=settings,
            streams=streams,
            declarations_path=path.parent / settings.declarations,
        )
    )


def _missing_plan(path: Path) -> Problem:
    return Problem(
        file=str(path),
        section=PLAN_SECTION,
        key="duration",
        value="",
        message="the section is missing",
        remedy="add the section [plan] with a duration",
    )
