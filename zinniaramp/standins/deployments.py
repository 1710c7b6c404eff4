"""Declarations with which a fleet starts."""

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
"""Declarations of a fleet that starts without an example."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """Declarations of a fleet and the names that they declare.

    Parameters
    ----------
    text : str
        The declarations, as INI text.
    models, services : list of str
        Names of the declared models and plain services.
    """

    text: str
    models: list[str]
    services: list[str]


def _declared_names(parser: configparser.ConfigParser, kind: str) -> list[str]:
    headings = [heading.partition(" ") for heading in parser.sections()]
    return [name for heading_kind, _, name in headings if heading_kind == kind]


def read_deployment(example: str, file: Path | None = None) -> Deployment:
    """Return the declarations of an example.

    Parameters
    ----------
    example : str
        Name of a directory below ``examples``; empty for the built-in declarations.
    file : Path or None
        File of declarations to read instead of the example's.

    Raises
    ------
    FileNotFoundError
        The example or the file does not exist.
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
        models=_declared_names(parser, "model"),
        services=_declared_names(parser, "service"),
    )
