"""Reading declarations from INI text; a pure function of the text."""

from result import Err, Ok, Result

from ..contracts import RevisionId
from ..ini import Problem, read_section, read_text
from .checks import Content, cross_check
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
    content = Content(
        file=file,
        written={},
        defaults=Defaults(),
        named={kind: {} for kind in SECTION_CLASSES},
    )
    for heading in parser.sections():
        kind, _, name = heading.partition(" ")
        if heading == DEFAULTS_SECTION or (kind in SECTION_CLASSES and name):
            content.written[heading] = dict(parser[heading])
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
            classes=content.named["class"],
            workspaces=content.named["workspace"],
            models=content.named["model"],
            services=content.named["service"],
            exceptions=content.named["exception"],
        )
    )


def _add_section(content: Content, heading: str, kind: str, name: str) -> list[Problem]:
    """Read one section into the content and return its mistakes."""
    section_class = SECTION_CLASSES.get(kind, Defaults)
    given = {"name": name} if name else {}
    match read_section(
        section_class,
        content.written[heading],
        file=content.file,
        section=heading,
        **given,
    ):
        case Err(found):
            return found
        case Ok(section) if section_class is Defaults:
            content.defaults = section
        case Ok(section):
            content.named[kind][name] = section
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
