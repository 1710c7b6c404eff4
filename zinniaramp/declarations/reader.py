"""Parser of declarations in INI text; a pure function of the text."""

from result import Err, Ok, Result

from ..contracts import RevisionId
from ..ini import Problem, parse_ini, read_section
from .checks import ParsedText, cross_check
from .core import (
    ClassDeclaration,
    Declarations,
    Defaults,
    ExceptionDeclaration,
    ModelDeclaration,
    ServiceDeclaration,
    WorkspaceDeclaration,
)

__all__ = ["SECTION_CLASSES", "read_declarations"]

SECTION_CLASSES = {
    "class": ClassDeclaration,
    "workspace": WorkspaceDeclaration,
    "model": ModelDeclaration,
    "service": ServiceDeclaration,
    "exception": ExceptionDeclaration,
}
"""Dataclasses of named sections, by the first word of the heading."""

DEFAULTS_SECTION = "defaults"


def read_declarations(
    text: str, *, file: str, revision: RevisionId
) -> Result[Declarations, list[Problem]]:
    """Parse and check the declarations of one revision.

    Parameters
    ----------
    text : str
        Declarations as INI text.
    file : str
        File name for messages.
    revision : RevisionId
        Revision of the text.

    Returns
    -------
    Result
        `Declarations`, or a list of every `Problem` in the text.
    """
    match parse_ini(text, file=file):
        case Err(problem):
            return Err([problem])
        case Ok(parser):
            return _read_sections(parser, file, revision)


def _read_sections(
    parser, file: str, revision: RevisionId
) -> Result[Declarations, list[Problem]]:
    problems: list[Problem] = []
    content = ParsedText(
        file=file,
        raw={},
        defaults=Defaults(),
        by_kind={kind: {} for kind in SECTION_CLASSES},
    )
    for heading in parser.sections():
        kind, _, name = heading.partition(" ")
        if heading == DEFAULTS_SECTION or (kind in SECTION_CLASSES and name):
            content.raw[heading] = dict(parser[heading])
            problems.extend(_add_section(content, heading, kind, name))
        else:
            problems.append(_unknown_heading(file, heading))
    problems.extend(cross_check(content))
    if problems:
        return Err(problems)
    return Ok(
        Declarations(
            revision=revision,
            defaults=content.defaults,
            classes=content.by_kind["class"],
            workspaces=content.by_kind["workspace"],
            models=content.by_kind["model"],
            services=content.by_kind["service"],
            exceptions=content.by_kind["exception"],
        )
    )


def _add_section(
    content: ParsedText, heading: str, kind: str, name: str
) -> list[Problem]:
    """Parse one section, add it to the content and return its problems."""
    section_class = SECTION_CLASSES.get(kind, Defaults)
    name_argument = {"name": name} if name else {}
    match read_section(
        section_class,
        content.raw[heading],
        file=content.file,
        section=heading,
        **name_argument,
    ):
        case Err(section_problems):
            return section_problems
        case Ok(section) if section_class is Defaults:
            content.defaults = section
        case Ok(section):
            content.by_kind[kind][name] = section
    return []


def _unknown_heading(file: str, heading: str) -> Problem:
    kinds = ", ".join(f"{kind} NAME" for kind in SECTION_CLASSES)
    return Problem(
        file=file,
        section=heading,
        key="",
        value="",
        message="unknown section",
        remedy=f"use {DEFAULTS_SECTION} or one of: {kinds}",
    )
