"""Verbs that check files: ``check`` and ``publish-preview``."""

import configparser
import dataclasses
import sys
from dataclasses import dataclass
from datetime import UTC, date, datetime
from pathlib import Path

from result import Err, Ok, Result

from ..contracts import RevisionId
from ..declarations import Declarations, read_declarations
from ..ini import Problem, parse_ini
from ..settings import SECTIONS, read_settings
from .output import EXIT_USAGE, EXIT_WRONG, fail, print_json, verb

__all__ = [
    "Change",
    "changes_between",
    "check",
    "expired_exceptions",
    "publish_preview",
]

PREVIEW_REVISION = RevisionId(index=0, digest="")


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """Difference in one key between two files.

    Parameters
    ----------
    section, key : str
        Section and key; the key is empty if a section without keys was added or
        removed.
    old, new : str, optional
        Value in the old and in the new file; None if the key is absent there.
    """

    section: str
    key: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        if self.old is None:
            return f"+ [{self.section}] {self.key} = {self.new}"
        if self.new is None:
            return f"- [{self.section}] {self.key} = {self.old}"
        return f"~ [{self.section}] {self.key} = {self.old} -> {self.new}"


def _read_or_exit(file: str) -> str:
    try:
        return Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        fail(
            f"{file}: cannot be read: {error}; specify the path of a readable file",
            EXIT_USAGE,
        )


def _is_settings(text: str) -> bool:
    match parse_ini(text, file=""):
        case Ok(parser):
            return any(name in SECTIONS for name in parser.sections())
        case Err(_):
            return any(f"[{name}]" in text for name in SECTIONS)


def expired_exceptions(declarations: Declarations, today: date) -> list[str]:
    """Return a notice for each exception whose end date has passed."""
    return [
        f"[exception {name}] expired on {exception.until}; remove it or change its date"
        for name, exception in declarations.exceptions.items()
        if exception.until and date.fromisoformat(exception.until) < today
    ]


def _read_declarations(text: str, file: str) -> Result[Declarations, list[Problem]]:
    return read_declarations(text, file=file, revision=PREVIEW_REVISION)


def _print_result(
    file: str, problems: list[Problem], notices: list[str], json: bool
) -> None:
    if json:
        print_json(
            {
                "file": file,
                "ok": not problems,
                "mistakes": [dataclasses.asdict(item) for item in problems],
                "notices": notices,
            }
        )
        return
    for problem in problems:
        print(problem)
    for notice in notices:
        print(f"{file}: notice: {notice}")
    if not problems:
        print(f"{file}: ok")


@verb(flags=("json",))
def check(file: str, *, json: bool = False) -> None:
    """Check a settings file or a file of declarations and print every problem.

    Parameters
    ----------
    file : str
        Path of the file; its kind is detected by its sections.
    json : bool
        Print JSON.
    """
    text = _read_or_exit(file)
    notices: list[str] = []
    if _is_settings(text):
        result = read_settings(Path(file))
    else:
        result = _read_declarations(text, file)
        if isinstance(result, Ok):
            today = datetime.now(UTC).date()
            notices = expired_exceptions(result.ok_value, today)
    problems = result.err_value if isinstance(result, Err) else []
    _print_result(file, problems, notices, json)
    if problems:
        sys.exit(EXIT_WRONG)


def changes_between(
    old: configparser.ConfigParser, new: configparser.ConfigParser
) -> list[Change]:
    """Return the differing keys, in the order of the old file, then of the new file."""
    section_names = dict.fromkeys([*old.sections(), *new.sections()])
    changes = []
    for section in section_names:
        before = dict(old[section]) if section in old else {}
        after = dict(new[section]) if section in new else {}
        if not before and not after and (section in old) != (section in new):
            mark = ("", None) if section in old else (None, "")
            changes.append(Change(section=section, key="", old=mark[0], new=mark[1]))
        for key in dict.fromkeys([*before, *after]):
            if before.get(key) != after.get(key):
                changes.append(
                    Change(
                        section=section,
                        key=key,
                        old=before.get(key),
                        new=after.get(key),
                    )
                )
    return changes


def _parse_or_exit(text: str, file: str) -> configparser.ConfigParser:
    match parse_ini(text, file=file):
        case Ok(parser):
            return parser
        case Err(problem):
            print(problem)
            sys.exit(EXIT_WRONG)


@verb(flags=("json",))
def publish_preview(old: str, new: str, *, json: bool = False) -> None:
    """Print the changes from OLD to NEW, and whether NEW would be accepted.

    Parameters
    ----------
    old : str
        File of the declarations in force.
    new : str
        File of the declarations to publish.
    json : bool
        Print JSON.
    """
    old_text, new_text = _read_or_exit(old), _read_or_exit(new)
    changes = changes_between(
        _parse_or_exit(old_text, old), _parse_or_exit(new_text, new)
    )
    result = _read_declarations(new_text, new)
    problems = result.err_value if isinstance(result, Err) else []
    if json:
        print_json(
            {
                "changes": [dataclasses.asdict(item) for item in changes],
                "refused": bool(problems),
                "mistakes": [dataclasses.asdict(item) for item in problems],
            }
        )
    else:
        for change in changes:
            print(change)
        for problem in problems:
            print(problem)
        verdict = "would be refused" if problems else "would be accepted"
        print(f"{len(changes)} changes; {new} {verdict}")
    if problems:
        sys.exit(EXIT_WRONG)
