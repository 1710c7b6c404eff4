"""Entry point of the command; `fire` turns the verbs into a command line."""

import sys
from pathlib import Path

import fire
from result import Err, Ok

from ..settings import read_settings
from .load import load, report

__all__ = ["main"]

EXIT_WRONG = 1
"""Exit code when what was checked is wrong."""


def check(file: str) -> None:
    """Check a settings file and print every mistake.

    Parameters
    ----------
    file : str
        The file.
    """
    match read_settings(Path(file)):
        case Ok(_):
            print(f"{file}: ok")
        case Err(problems):
            for problem in problems:
                print(problem)
            sys.exit(EXIT_WRONG)


VERBS = {"check": check, "load": load, "report": report}


def main() -> None:
    """Run ``zinniaramp VERB``."""
    fire.Fire(VERBS, name="zinniaramp")
