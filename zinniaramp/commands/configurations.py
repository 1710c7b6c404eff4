"""Verb that checks a platform's configuration document: ``check-configuration``."""

import dataclasses
import sys
from pathlib import Path

from result import Err, Ok

from ..platform.configuration_check import (
    CheckedConfiguration,
    DocumentChange,
    Finding,
    configuration_changes,
    find_mistakes,
    find_notices,
    read_configuration,
)
from .output import EXIT_USAGE, EXIT_WRONG, fail, print_json, verb

__all__ = ["check_configuration"]


def _read_or_exit(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as error:
        fail(
            f"{file}: cannot be read: {error}; specify the path of a readable file",
            EXIT_USAGE,
        )


def _read_version_in_force(file: str) -> CheckedConfiguration:
    match read_configuration(_read_or_exit(file)):
        case Ok(configuration):
            return configuration
        case Err(finding):
            fail(f"{file}: not a configuration in force: {finding}", EXIT_USAGE)


def _find_old_version(
    old: CheckedConfiguration, new: CheckedConfiguration
) -> list[Finding]:
    before, after = old.decoded.version, new.decoded.version
    if after > before:
        return []
    problem = f"{after} is not above {before}, the version in force; it is ignored"
    return [Finding(place="version", problem=problem, remedy="raise the version")]


@verb(flags=("json",))
def check_configuration(file: str, *, against: str = "", json: bool = False) -> None:
    """Check a platform's configuration document before it is published.

    Parameters
    ----------
    file : str
        Path of the document, JSON as it is published.
    against : str
        Path of the document in force; its differences to FILE are printed.
    json : bool
        Print JSON.
    """
    in_force = _read_version_in_force(against) if against else None
    mistakes: list[Finding] = []
    notices: list[Finding] = []
    changes: list[DocumentChange] = []
    match read_configuration(_read_or_exit(file)):
        case Err(finding):
            mistakes = [finding]
        case Ok(configuration):
            mistakes = find_mistakes(configuration)
            notices = find_notices(configuration)
            if in_force is not None:
                mistakes += _find_old_version(in_force, configuration)
                changes = configuration_changes(in_force, configuration)
    if json:
        print_json(
            {
                "file": file,
                "ok": not mistakes,
                "mistakes": [dataclasses.asdict(one) for one in mistakes],
                "notices": [dataclasses.asdict(one) for one in notices],
                "changes": [dataclasses.asdict(one) for one in changes],
            }
        )
    else:
        _print_findings(file, mistakes, notices, changes)
    if mistakes:
        sys.exit(EXIT_WRONG)


def _print_findings(
    file: str,
    mistakes: list[Finding],
    notices: list[Finding],
    changes: list[DocumentChange],
) -> None:
    for change in changes:
        print(change)
    for mistake in mistakes:
        print(f"{file}: {mistake}")
    for notice in notices:
        print(f"{file}: notice: {notice}")
    if not mistakes:
        print(f"{file}: ok")
