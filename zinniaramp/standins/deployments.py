"""Declarations that a fleet is started with."""

import configparser
from dataclasses import dataclass
from pathlib import Path

from .text import DEFAULT_MODEL

__all__ = ["Deployment", "read_deployment"]

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
"""Directory of the example deployments."""

BUILT_IN_DECLARATIONS = f"""\
[defaults]
class_name = standard

[class standard]
tier = 2
repeatable = true

[class record]
tier = 1
repeatable = false
ticket = optional

[model {DEFAULT_MODEL}]

[service ledger]
class_name = record
"""
"""Declarations of a fleet that is started without an example."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """What a fleet is started with.

    Parameters
    ----------
    text : str
        The declarations, as INI.
    models, services : list of str
        Names of the models and plain services that they declare.
    """

    text: str
    models: list[str]
    services: list[str]


def _declared(parser: configparser.ConfigParser, kind: str) -> list[str]:
    headings = [heading.partition(" ") for heading in parser.sections()]
    return [name for word, _, name in headings if word == kind]


def read_deployment(example: str, file: Path | None = None) -> Deployment:
    """Return the declarations of an example.

    Parameters
    ----------
    example : str
        Name of a directory below ``examples``; empty for the built-in ones.
    file : Path or None
        File to read in place of the example's own.

    Raises
    ------
    FileNotFoundError
        There is no such example.
    """
    text = BUILT_IN_DECLARATIONS
    if file is not None:
        text = file.read_text()
    elif example:
        text = (EXAMPLES / example / "declarations.ini").read_text()
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.read_string(text)
    return Deployment(
        text=text,
        models=_declared(parser, "model"),
        services=_declared(parser, "service"),
    )
