"""Exit codes, printing and argument types that the verbs share."""

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
"""What was checked is wrong, or what was asked for is not there."""

EXIT_USAGE = 2
"""The command line is wrong, or a file that it names cannot be read."""

EXIT_UNREACHABLE = 3
"""A process cannot be reached, or answers something else than was asked for."""

EXIT_NOT_RUN = 4
"""The request was not run."""

EXIT_UNKNOWN = 5
"""It is not known whether the request ran."""


def fail(message: str, code: int) -> NoReturn:
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(code)


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, default=str))


def _flag(text: str) -> bool:
    if text not in ("True", "False", "true", "false"):
        fail(f"{text!r} is not true or false", EXIT_USAGE)
    return text in ("True", "true")


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        fail(f"{text!r} is not a number", EXIT_USAGE)


def verb(*, flags: tuple[str, ...] = (), numbers: tuple[str, ...] = ()):
    """Declare how a verb's arguments are read: as text unless named here.

    Parameters
    ----------
    flags : tuple of str
        Names of those that are true or false.
    numbers : tuple of str
        Names of those that are numbers.

    Notes
    -----
    Without it `fire` would read a request's identity of digits as a number.
    """

    def decorate(function):
        SetParseFn(str)(function)
        if flags:
            SetParseFn(_flag, *flags)(function)
        if numbers:
            SetParseFn(_number, *numbers)(function)
        return function

    return decorate
