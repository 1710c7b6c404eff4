"""Checks of names, and across keys and sections; a pure function of the text."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import date
from typing import Any

from result import Err, Ok

from ..ini import Problem, list_keys, read_section
from .core import ClassDeclaration, Defaults, ExceptionDeclaration

__all__ = ["ParsedText", "cross_check"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
"""Names of classes, workspaces, services and exceptions."""

MODEL_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,79}")
"""Names of models, as engines report them."""

RESERVED_NAMES = {"all", "default", "defaults", "none", "other"}
"""Names that metrics, reports and the command line use with a special meaning."""


@dataclass(slots=True, kw_only=True)
class ParsedText:
    """Sections of one INI text: as written, and parsed if they are valid.

    Parameters
    ----------
    file : str
        File name for messages.
    raw : dict
        Keys and values as written, by heading, of every section of a known kind.
    defaults : Defaults
        Parsed defaults.
    by_kind : dict
        Parsed sections by the first word of the heading, then by name.
    """

    file: str
    raw: dict[str, dict[str, str]]
    defaults: Defaults
    by_kind: dict[str, dict[str, Any]]

    def has_section(self, kind: str, name: str) -> bool:
        """Return whether the text has a section, valid or not."""
        return f"{kind} {name}" in self.raw

    def problem(self, section: str, key: str, message: str, remedy: str) -> Problem:
        """Return a problem of one key, with its value as written."""
        return Problem(
            file=self.file,
            section=section,
            key=key,
            value=self.raw.get(section, {}).get(key, ""),
            message=message,
            remedy=remedy,
        )


def cross_check(content: ParsedText) -> list[Problem]:
    """Return every problem that the check of a single section cannot find."""
    checks = (
        _name_problems,
        _reference_problems,
        _class_problems,
        _exception_problems,
        _floor_problems,
    )
    return [problem for check in checks for problem in check(content)]


def _name_problems(content: ParsedText) -> Iterator[Problem]:
    for heading in content.raw:
        kind, _, name = heading.partition(" ")
        if not name:
            continue
        pattern = MODEL_NAME_PATTERN if kind == "model" else NAME_PATTERN
        if pattern.fullmatch(name) is None:
            yield content.problem(
                heading,
                "",
                f"{name!r} is not a valid name",
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
"""Keys that refer to sections of another kind, by the kind that has the key."""


def _reference_problems(content: ParsedText) -> Iterator[Problem]:
    for heading, values in content.raw.items():
        for key, kind in _REFERENCES.get(heading.split()[0], {}).items():
            for name in values.get(key, "").split():
                if not content.has_section(kind, name):
                    yield content.problem(
                        heading,
                        key,
                        f"section [{kind} {name}] does not exist",
                        f"add [{kind} {name}] or use a name that the file defines",
                    )


def _contradictions(
    declared: ClassDeclaration, raw: dict[str, str]
) -> Iterator[Problem]:
    """Yield contradictions between the keys of one class.

    Only keys that are written are compared.  Otherwise a later version with a new
    default could refuse declarations that are already in force.
    """

    def contradiction(key: str, message: str, remedy: str) -> Problem:
        return Problem(
            file="",
            section=f"class {declared.name}",
            key=key,
            value=raw.get(key, ""),
            message=message,
            remedy=remedy,
        )

    def is_less(key: str, target: str) -> bool:
        if key not in raw or target not in raw:
            return False
        value = getattr(declared, key)
        return value is not None and value < getattr(declared, target)

    for key in ("finish", "deadline"):
        if is_less(key, "first_token"):
            yield contradiction(
                key,
                f"less than first_token = {raw['first_token']}",
                f"increase {key} or decrease first_token",
            )
    if is_less("deadline", "finish") and not is_less("deadline", "first_token"):
        yield contradiction(
            "deadline",
            f"requests would expire before finish = {raw['finish']}",
            "increase deadline or decrease finish",
        )
    if declared.tier == 1 and declared.preemptible and "preemptible" in raw:
        yield contradiction(
            "preemptible",
            "tier 1 has the highest priority and is never preempted",
            "remove the key, or set it to false",
        )
    if declared.repeatable and "ticket" in raw:
        yield contradiction(
            "ticket",
            "a repeatable class does not use tickets",
            "remove the key, or set repeatable = false",
        )


def _class_problems(content: ParsedText) -> Iterator[Problem]:
    for name, declared in content.by_kind["class"].items():
        section = f"class {name}"
        for contradiction in _contradictions(declared, content.raw[section]):
            yield content.problem(
                section, contradiction.key, contradiction.message, contradiction.remedy
            )


def _exception_problems(content: ParsedText) -> Iterator[Problem]:
    section_of: dict[str, str] = {}
    for name, exception in content.by_kind["exception"].items():
        section = f"exception {name}"
        yield from _until_problems(content, section, exception)
        yield from _set_key_problems(content, section, exception)
        scope = f"{exception.class_name}/{exception.workspace}/{exception.set_key}"
        if scope in section_of:
            yield content.problem(
                section,
                "set_key",
                f"[{section_of[scope]}] sets the same key of this class and workspace",
                "remove one of the two",
            )
        section_of[scope] = section


def _until_problems(
    content: ParsedText, section: str, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    try:
        if exception.until:
            date.fromisoformat(exception.until)
    except ValueError as error:
        yield content.problem(section, "until", str(error), "use the format YYYY-MM-DD")


def _set_key_problems(
    content: ParsedText, section: str, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    class_keys = [key.name for key in list_keys(ClassDeclaration)]
    if exception.set_key not in class_keys:
        yield content.problem(
            section,
            "set_key",
            "not a key of a class",
            f"use one of: {', '.join(class_keys)}",
        )
        return
    heading = f"class {exception.class_name}"
    if heading not in content.raw:
        return
    values = {
        **content.raw[heading],
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
            wrong = [
                problem for problem in problems if problem.key == exception.set_key
            ]
        case Ok(declared):
            wrong = [
                problem
                for problem in _contradictions(declared, values)
                if problem
                not in list(_contradictions_without_exception(content, exception))
            ]
    for problem in wrong:
        yield content.problem(
            section,
            "set_value",
            f"{exception.set_key} of [{heading}]: {problem.message}",
            problem.remedy,
        )


def _contradictions_without_exception(
    content: ParsedText, exception: ExceptionDeclaration
) -> Iterator[Problem]:
    """Yield the contradictions that the class has without the exception."""
    declared = content.by_kind["class"].get(exception.class_name)
    if declared is not None:
        raw = content.raw[f"class {exception.class_name}"]
        yield from _contradictions(declared, raw)


def _floor_problems(content: ParsedText) -> Iterator[Problem]:
    floors = {
        name: declared.floor or content.defaults.floor
        for name, declared in content.by_kind["class"].items()
    }
    for exception in content.by_kind["exception"].values():
        if exception.set_key == "floor" and exception.class_name in floors:
            floors[exception.class_name] = max(
                floors[exception.class_name], _float_or_zero(exception.set_value)
            )
    total = sum(floors.values())
    if total >= 1:
        yield content.problem(
            "defaults",
            "floor",
            f"the floors of all classes, including exceptions, add up to {total:g}",
            "decrease floors until they add up to less than 1",
        )


def _float_or_zero(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
