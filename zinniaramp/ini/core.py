"""Declaration of INI keys as class attributes, and validation of sections.

The class of a section is a `pydantic.dataclasses.dataclass`; each attribute is one
key, declared with `declare_key`.  Python's `configparser` parses the text.
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
"""Value of ``unit`` that marks the bounds of a key as durations in seconds."""

Seconds = Annotated[timedelta, BeforeValidator(_to_timedelta)]
"""Duration that is written in INI text as a number of seconds."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Problem:
    """Location, message and corrective action of one error in a file."""

    file: str
    section: str
    key: str
    value: str
    message: str
    remedy: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]"
        if self.key:
            location = f"{location} {self.key} = {self.value}"
        return f"{location}: {self.message}; {self.remedy}"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Key:
    """Description of one key, for the generated reference page."""

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
    """Declare one key of a section; bounds in seconds are converted to durations.

    Parameters
    ----------
    description : str
        What the key does, for the reference page.
    unit : str
        Unit of the value in the file; empty if it has none.
    default : object, optional
        Value if the file does not set the key; without a default the key is
        required.
    is_secret : bool
        Whether the value is omitted from error messages.
    **bounds
        Constraints of pydantic's ``Field``, such as ``ge`` and ``le``.
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
    """Declare the attribute that stores the name of a section; it is not a key."""
    return Field(default="", json_schema_extra={"is_section_name": True})


def _is_key(field) -> bool:
    return "is_section_name" not in (field.json_schema_extra or {})


def _format_bounds(field) -> str:
    if get_origin(field.annotation) is Literal:
        return f"one of {', '.join(get_args(field.annotation))}"
    if field.annotation is bool:
        return "true or false"
    parts = []
    for item in field.metadata:
        for rule in ("ge", "gt", "le", "lt", "pattern", "min_length", "max_length"):
            bound = getattr(item, rule, None)
            if bound is not None:
                if isinstance(bound, timedelta):
                    bound = f"{bound.total_seconds():g}"
                parts.append(f"{rule} {bound}")
    return ", ".join(parts)


def _format_default(field) -> str:
    if field.is_required():
        return "required"
    default = field.get_default(call_default_factory=True)
    if isinstance(default, timedelta):
        return f"{default.total_seconds():g}"
    return str(default) or "empty"


def list_keys(section_class: type) -> list[Key]:
    """Return the keys of a section class in the order of their declaration."""
    return [
        Key(
            name=name,
            description=field.description or "",
            unit=(field.json_schema_extra or {}).get("unit", ""),
            default=_format_default(field),
            bounds=_format_bounds(field),
        )
        for name, field in section_class.__pydantic_fields__.items()
        if _is_key(field)
    ]


def parse_ini(text: str, *, file: str) -> Result[configparser.ConfigParser, Problem]:
    """Parse INI text without interpolation.

    Parameters
    ----------
    text : str
        Contents of the file.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    Result
        The parser; or a `Problem` whose message gives the line.
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
                remedy="correct the syntax of the line",
            )
        )
    return Ok(parser)


def _get_field(section_class: type, name: str):
    return section_class.__pydantic_fields__.get(name)


def _error_message(error) -> str:
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return "not a key of this section"
    if error["type"] in ("missing", "missing_argument"):
        return "the key is required"
    if "timedelta" in error["msg"]:
        return "the duration is not within its bounds"
    return error["msg"]


def _error_remedy(error, section_class: type, key: str) -> str:
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        key_names = ", ".join(declared.name for declared in list_keys(section_class))
        return f"remove it or use one of: {key_names}"
    if error["type"] in ("missing", "missing_argument"):
        return "add the key"
    field = _get_field(section_class, key)
    bounds = _format_bounds(field) if field else ""
    return f"set a value with: {bounds}" if bounds else "set a valid value"


def _displayed_value(section_class: type, key: str, values: dict[str, str]) -> str:
    field = _get_field(section_class, key)
    if field and (field.json_schema_extra or {}).get("is_secret"):
        return "(hidden)"
    return str(values.get(key, ""))


def _make_problem(
    error, section_class: type, values: dict[str, str], *, file: str, section: str
) -> Problem:
    key = ".".join(str(part) for part in error["loc"][:1])
    return Problem(
        file=file,
        section=section,
        key=key,
        value=_displayed_value(section_class, key, values),
        message=_error_message(error),
        remedy=_error_remedy(error, section_class, key),
    )


def read_section(
    section_class: type,
    values: dict[str, str],
    *,
    file: str,
    section: str,
    **attributes,
) -> Result[Any, list[Problem]]:
    """Validate the keys of one section and create its object.

    Parameters
    ----------
    section_class : type
        Class whose attributes are declared with `declare_key`.
    values : dict of str
        Keys and values as written in the file.
    file, section : str
        Names of the file and of the section, for error messages.
    **attributes
        Attributes that are not set by keys, such as the section's name.

    Returns
    -------
    Result
        The object; or a `Problem` for each invalid key.
    """
    reserved_names = [name for name in attributes if name in values]
    if reserved_names:
        return Err(
            [
                Problem(
                    file=file,
                    section=section,
                    key=name,
                    value=values[name],
                    message="not a key of this section",
                    remedy="remove it; the name is taken from the section's heading",
                )
                for name in reserved_names
            ]
        )
    try:
        return Ok(
            TypeAdapter(section_class).validate_python(
                {**values, **attributes}, strict=None
            )
        )
    except ValidationError as validation_error:
        return Err(
            [
                _make_problem(error, section_class, values, file=file, section=section)
                for error in validation_error.errors()
            ]
        )
