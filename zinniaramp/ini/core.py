"""Keys declared beside their code, and sections checked against them.

A section is a class made with `pydantic.dataclasses.dataclass`; each attribute
is one key, declared with `declare_key`.  Python's `configparser` reads the text.
"""

import configparser
import dataclasses
from datetime import timedelta
from typing import Annotated, Any, Literal, get_args, get_origin

from pydantic import BeforeValidator, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

__all__ = [
    "Key",
    "Problem",
    "Seconds",
    "declare_key",
    "declare_section_name",
    "list_keys",
    "parse_ini",
    "read_section",
]


def _to_timedelta(value: Any) -> Any:
    if isinstance(value, timedelta):
        return value
    try:
        return timedelta(seconds=float(value))
    except (OverflowError, ValueError) as error:
        raise ValueError(f"not a number of seconds: {error}") from error


SECONDS_UNIT = "s"
"""Unit of the keys whose values are durations."""

Seconds = Annotated[timedelta, BeforeValidator(_to_timedelta)]
"""A duration that INI text gives as a number of seconds."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Problem:
    """One mistake in a file, with what to do about it."""

    file: str
    section: str
    key: str
    value: str
    message: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]"
        if self.key:
            place = f"{place} {self.key} = {self.value}"
        return f"{place}: {self.message}; {self.remedy}"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Key:
    """Description of one key, for the reference page."""

    name: str
    description: str
    unit: str
    default: str
    bounds: str


def declare_key(
    description: str,
    *,
    unit: str = "",
    default: Any = ...,
    is_secret: bool = False,
    **bounds,
) -> Any:
    """Declare one key of a section; bounds of seconds become durations.

    Parameters
    ----------
    description : str
        What the key does, for the reference page.
    unit : str
        Unit of the value as written in the file.
    default : object, optional
        Value when the key is left out; without it the key is required.
    is_secret : bool
        Whether messages must not show the value.
    **bounds
        Bounds as pydantic's ``Field`` takes them, such as ``ge`` and ``le``.
    """
    if unit == SECONDS_UNIT:
        bounds = {name: timedelta(seconds=bound) for name, bound in bounds.items()}
    return Field(
        default=default,
        description=description,
        json_schema_extra={"unit": unit, "is_secret": is_secret},
        **bounds,
    )


def declare_section_name() -> Any:
    """Declare the attribute that holds a section's name; it is not a key."""
    return Field(default="", json_schema_extra={"is_section_name": True})


def _is_key(field) -> bool:
    return "is_section_name" not in (field.json_schema_extra or {})


def _bounds_text(field) -> str:
    if get_origin(field.annotation) is Literal:
        return f"one of {', '.join(get_args(field.annotation))}"
    if field.annotation is bool:
        return "true or false"
    parts = []
    for item in field.metadata:
        for sign in ("ge", "gt", "le", "lt", "pattern", "min_length", "max_length"):
            bound = getattr(item, sign, None)
            if bound is not None:
                if isinstance(bound, timedelta):
                    bound = f"{bound.total_seconds():g}"
                parts.append(f"{sign} {bound}")
    return ", ".join(parts)


def _default_text(field) -> str:
    if field.is_required():
        return "required"
    default = field.get_default(call_default_factory=True)
    if isinstance(default, timedelta):
        return f"{default.total_seconds():g}"
    return str(default) or "empty"


def list_keys(section_class: type) -> list[Key]:
    """Return the keys of a section class in the order of its source."""
    return [
        Key(
            name=name,
            description=field.description or "",
            unit=(field.json_schema_extra or {}).get("unit", ""),
            default=_default_text(field),
            bounds=_bounds_text(field),
        )
        for name, field in section_class.__pydantic_fields__.items()
        if _is_key(field)
    ]


def parse_ini(text: str, *, file: str) -> Result[configparser.ConfigParser, Problem]:
    """Parse INI text without interpolation.

    Parameters
    ----------
    text : str
        The text.
    file : str
        Name for messages.

    Returns
    -------
    Result
        The parser; or a `Problem` that names the line.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        return Err(
            Problem(
                file=file,
                section=getattr(error, "section", "") or "",
                key=getattr(error, "option", "") or "",
                value="",
                message=str(error).replace("\n", " "),
                remedy="correct the line so that the file is INI",
            )
        )
    return Ok(parser)


def _field_of(section_class: type, name: str):
    return section_class.__pydantic_fields__.get(name)


def _message(error) -> str:
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return "not a key of this section"
    if error["type"] in ("missing", "missing_argument"):
        return "the key is required"
    if "timedelta" in error["msg"]:
        return "the duration is out of bounds"
    return error["msg"]


def _remedy(error, section_class: type, key: str) -> str:
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        known = ", ".join(one.name for one in list_keys(section_class))
        return f"remove it or use one of: {known}"
    if error["type"] in ("missing", "missing_argument"):
        return "add the key"
    field = _field_of(section_class, key)
    bounds = _bounds_text(field) if field else ""
    return f"give a value with: {bounds}" if bounds else "give a value that fits"


def _shown_value(section_class: type, key: str, values: dict[str, str]) -> str:
    field = _field_of(section_class, key)
    if field and (field.json_schema_extra or {}).get("is_secret"):
        return "(not shown)"
    return str(values.get(key, ""))


def _problem_of(
    error, section_class: type, values: dict[str, str], *, file: str, section: str
) -> Problem:
    key = ".".join(str(part) for part in error["loc"][:1])
    return Problem(
        file=file,
        section=section,
        key=key,
        value=_shown_value(section_class, key, values),
        message=_message(error),
        remedy=_remedy(error, section_class, key),
    )


def read_section(
    section_class: type, values: dict[str, str], *, file: str, section: str, **given
) -> Result[Any, list[Problem]]:
    """Check one section's keys and build its object.

    Parameters
    ----------
    section_class : type
        Class whose attributes are declared with `declare_key`.
    values : dict of str
        Keys and values as written.
    file, section : str
        Where they stand, for messages.
    **given
        Attributes that do not come from keys, such as the section's name.

    Returns
    -------
    Result
        The object; or every `Problem` found.
    """
    reserved = [name for name in given if name in values]
    if reserved:
        return Err(
            [
                Problem(
                    file=file,
                    section=section,
                    key=name,
                    value=values[name],
                    message="not a key of this section",
                    remedy="remove it; the section's heading gives the name",
                )
                for name in reserved
            ]
        )
    try:
        return Ok(
            TypeAdapter(section_class).validate_python({**values, **given}, strict=None)
        )
    except ValidationError as failure:
        return Err(
            [
                _problem_of(error, section_class, values, file=file, section=section)
                for error in failure.errors()
            ]
        )
