"""Exit codes, output functions and argument types shared by the verbs."""

import json
import sys
from typing import Any, NoReturn

from fire.decorators import SetParseFn

__all__ = [
    "EXIT_NOT_RUN",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "EXIT_WRONG",
    "fail",
    "print_json",
    "verb",
]

EXIT_WRONG = 1
"""The checked file has problems, or the requested data was not found."""

EXIT_USAGE = 2
"""The command line is invalid, or a file that it names cannot be read."""

EXIT_UNREACHABLE = 3
"""A process cannot be reached, or its answer is not the expected one."""

EXIT_NOT_RUN = 4
"""The request was not executed."""

EXIT_UNKNOWN = 5
"""It is unknown whether the request was executed."""


def fail(message: str, code: int) -> NoReturn:
    """Print a message to standard error and exit with a code."""
    print(message, file=sys.stderr)
    sys.exit(code)


def print_json(value: Any) -> None:
    """Print a value as indented JSON; types unknown to JSON are printed as ``str``."""
    print(json.dumps(value, indent=2, default=str))


def _parse_flag(text: str) -> bool:
    if text not in ("True", "False", "true", "false"):
        fail(f"{text!r} is not true or false", EXIT_USAGE)
    return text in ("True", "true")


def _parse_number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        fail(f"{text!r} is not a number", EXIT_USAGE)


def verb(*, flags: tuple[str, ...] = (), numbers: tuple[str, ...] = ()):
    """Return a decorator that sets the types of a verb's arguments; default is text.

    Parameters
    ----------
    flags : tuple of str
        Names of the boolean arguments.
    numbers : tuple of str
        Names of the numeric arguments.

    Notes
    -----
    By default `fire` would parse a request id that consists of digits as a number.
    """

    def decorate(function):
        SetParseFn(str)(function)
        if flags:
            SetParseFn(_parse_flag, *flags)(function)
        if numbers:
            SetParseFn(_parse_number, *numbers)(function)
        return function

    return decorate
