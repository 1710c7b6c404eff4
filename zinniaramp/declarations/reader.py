"""Reading declarations from INI text; a pure function of the text."""

from result import Err, Ok, Result

from ..contracts import RevisionId
from ..ini import Problem, read_section, read_text
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
"""Class of the sections that carry a name, by the first word of the heading."""

DEFAULTS_SECTION = "defaults"


def read_declarations(
    text: str, *, file: str, revision: RevisionId
) -> Result[Declarations, list[Problem]]:
    """Read and check the declarations of one revision.

    Parameters
    ----------
    text : str
        INI text.
    file : str
        Name for messages.
    revision : RevisionId
        Which revision the text is.

    Returns
    -------
    Result
        The declarations; or every `Problem` found.
    """
    match read_text(text, file=file):
        case Err(problem):
            return Err([problem])
        case Ok(parser):
            return _read_sections(parser, file, revision)


def _read_sections(
    parser, file: str, revision: RevisionId
) -> Result[Declarations, list[Problem]]:
    problems: list[Problem] = []
    defaults = Defaults()
    named = {kind: {} for kind in SECTION_CLASSES}
    for heading in parser.sections():
        kind, _, name = heading.partition(" ")
        if heading == DEFAULTS_SECTION:
            section_class, given = Defaults, {}
        elif kind in SECTION_CLASSES and name:
            section_class, given = SECTION_CLASSES[kind], {"name": name}
        else:
            problems.append(_unknown_heading(file, heading))
            continue
        values = dict(parser[heading])
        match read_section(section_class, values, file=file, section=heading, **given):
            case Err(found):
                problems.extend(found)
            case Ok(section) if section_class is Defaults:
                defaults = section
            case Ok(section):
                named[kind][name] = section
    if problems:
        return Err(problems)
    return Ok(
        Declarations(
            revision=revision,
            defaults=defaults,
            classes=named["class"],
            workspaces=named["workspace"],
            models=named["model"],
            services=named["service"],
            exceptions=named["exception"],
        )
    )


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
