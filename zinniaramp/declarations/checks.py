"""Checks that span sections; a pure function of the content."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import date
from typing import Any

from result import Err, Ok

from ..ini import Problem, keys_of, read_section
from .core import ClassDeclaration, Defaults, ExceptionDeclaration

__all__ = ["Content", "cross_check"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
"""Names of classes, workspaces, services and exceptions."""

MODEL_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,79}")
"""Names of models, as engines give them."""

RESERVED_NAMES = {"all", "default", "defaults", "none", "other"}
"""Names that metrics, reports and the command use for something else."""


@dataclass(slots=True, kw_only=True)
class Content:
    """The sections of one text: as written, and those that could be read.

    Parameters
    ----------
    file : str
        Name for messages.
    written : dict
        Keys and values as written, by heading, of every known section.
    defaults : Defaults
        The defaults.
    named : dict
        Sections that were read, by name, by the first word of the heading.
    """

    file: str
    written: dict[str, dict[str, str]]
    defaults: Defaults
    named: dict[str, dict[str, Any]]

    def has(self, kind: str, name: str) -> bool:
        """Tell whether a section stands in the text, right or wrong."""
        return f"{kind} {name}" in self.written

    def problem(self, section: str, key: str, message: str, remedy: str) -> Problem:
        """Return a problem of one key, with its value as written."""
        return Problem(
            file=self.file,
            section=section,
            key=key,
            value=self.written.get(section, {}).get(key, ""),
            message=message,
            remedy=remedy,
        )


def cross_check(content: Content) -> list[Problem]:
    """Return every mistake that shows only when sections are seen together."""
    checks = (
        _name_problems,
        _reference_problems,
        _class_problems,
        _exception_problems,
        _floor_problems,
    )
    return [problem for check in checks for problem in check(content)]


def _name_problems(content: Content) -> Iterator[Problem]:
    for heading in content.written:
        kind, _, name = heading.partition(" ")
        if not name:
            continue
        pattern = MODEL_NAME_PATTERN if kind == "model" else NAME_PATTERN
        if pattern.fullmatch(name) is None:
            yield content.problem(
                heading,
                "",
                f"{name!r} is not a name",
                f"use a name that matches {pattern.pattern}",
            )
        elif name in RESERVED_NAMES:
            yield content.problem(
                heading, "", f"{name!r} is a reserved name", "choose another name"
            )


_REFERENCES = {
    "defaults": {"class_name": "class", "workspace": "workspace"},
    "workspace": {"classes": "class"},
    "service": {"class_name": "class"},
    "exception": {"class_name": "class", "workspace": "workspace"},
}
"""Keys that name sections of another kind, by the kind of their own section."""


def _reference_problems(content: Content) -> Iterator[Problem]:
    for heading, values in content.written.items():
        for key, kind in _REFERENCES.get(heading.split()[0], {}).items():
            for name in values.get(key, "").split():
                if not content.has(kind, name):
                    yield content.problem(
                        heading,
                        key,
                        f"there is no section [{kind} {name}]",
                        f"add [{kind} {name}] or name one that stands in the file",
                    )


def _contradictions(
    declared: ClassDeclaration, written: dict[str, str]
) -> Iterator[Problem]:
    """Yield what one class says against itself.

    Only written keys count: otherwise a new default of a later version could
    make it refuse content that is in force.
    """

    def contradiction(key: str, message: str, remedy: str) -> Problem:
        return Problem(
            file="",
            section=f"class {declared.name}",
            key=key,
            value=written.get(key, ""),
            message=message,
            remedy=remedy,
        )

    def is_below(key: str, target: str) -> bool:
        if key not in written or target not in written:
            return False
        value = getattr(declared, key)
        return value is not None and value < getattr(declared, target)

    for key in ("finish", "deadline"):
        if is_below(key, "first_token"):
            yield contradiction(
                key,
                f"below first_token = {written['first_token']}",
                f"raise {key} or lower first_token",
            )
    if is_below("deadline", "finish") and not is_below("deadline", "first_token"):
        yield contradiction(
            "deadline",
            f"a request would be given up before finish = {written['finish']}",
            "raise deadline or lower finish",
        )
    if declared.tier == 1 and declared.preemptible and "preemptible" in written:
        yield contradiction(
            "preemptible",
            "nothing goes before tier 1, so it cannot be preempted",
            "remove the key, or set it to false",
        )
    if declared.repeatable and "ticket" in written:
        yield contradiction(
            "ticket",
            "a repeatable class needs no tickets",
            "remove the key, or set repeatable = false",
        )


def _class_problems(content: Content) -> Iterator[Problem]:
    for name, declared in content.named["class"].items():
        section = f"class {name}"
        for found in _contradictions(declared, content.written[section]):
            yield content.problem(section, found.key, found.message, found.remedy)


def _exception_problems(content: Content) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for name, exception in content.named["exception"].items():
        section = f"exception {name}"
        yield from _until_problems(content, section, exception)
        yield from _set_problems(content, section, exception)
        scope = f"{exception.class_name}/{exception.workspace}/{exception.set_key}"
        if scope in seen:
            yield content.problem(
                section,
                "set_key",
                f"[{seen[scope]}] sets the same key of the same class and workspace",
                "remove one of the two",
            )
        seen[scope] = section


def _until_problems(
    content: Content, section: str, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    try:
        if exception.until:
            date.fromisoformat(exception.until)
    except ValueError as error:
        yield content.problem(section, "until", str(error), "write YYYY-MM-DD")


def _set_problems(
    content: Content, section: str, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    known = [key.name for key in keys_of(ClassDeclaration)]
    if exception.set_key not in known:
        yield content.problem(
            section,
            "set_key",
            "not a key of a class",
            f"use one of: {', '.join(known)}",
        )
        return
    heading = f"class {exception.class_name}"
    if heading not in content.written:
        return
    values = {
        **content.written[heading],
        exception.set_key: exception.set_value,
    }
    match read_section(
        ClassDeclaration,
        values,
        file=content.file,
        section=heading,
        name=exception.class_name,
    ):
        case Err(problems):
            wrong = [one for one in problems if one.key == exception.set_key]
        case Ok(declared):
            wrong = [
                one
                for one in _contradictions(declared, values)
                if one not in list(_own_contradictions(content, exception))
            ]
    for one in wrong:
        yield content.problem(
            section,
            "set_value",
            f"{exception.set_key} of [{heading}]: {one.message}",
            one.remedy,
        )


def _own_contradictions(
    content: Content, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    """Yield what the class says against itself without the exception."""
    declared = content.named["class"].get(exception.class_name)
    if declared is not None:
        written = content.written[f"class {exception.class_name}"]
        yield from _contradictions(declared, written)


def _floor_problems(content: Content) -> Iterator[Problem]:
    floors = {
        name: declared.floor or content.defaults.floor
        for name, declared in content.named["class"].items()
    }
    for exception in content.named["exception"].values():
        if exception.set_key == "floor" and exception.class_name in floors:
            floors[exception.class_name] = max(
                floors[exception.class_name], _number(exception.set_value)
            )
    total = sum(floors.values())
    if total >= 1:
        yield content.problem(
            "defaults",
            "floor",
            f"the floors of all classes, exceptions included, add up to {total:g}",
            "lower floors until they add up to less than 1",
        )


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
