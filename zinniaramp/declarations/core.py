"""Sections of the declarations, their keys and the declarations of one revision."""

from dataclasses import field
from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from ..contracts import RevisionId
from ..ini import Seconds, declare_key, declare_section_name

__all__ = [
    "ClassDeclaration",
    "Declarations",
    "Defaults",
    "ExceptionDeclaration",
    "ModelDeclaration",
    "ServiceDeclaration",
    "WorkspaceDeclaration",
]

_section = dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(extra="forbid", validate_default=True),
)

MAX_TIERS = 8
"""Maximum number of service tiers."""


@_section
class Defaults:
    """``[defaults]``: settings of the whole fleet."""

    class_name: str = declare_key("Class of requests that specify none.", default="")
    workspace: str = declare_key("Workspace of requests that specify none.", default="")
    floor: float = declare_key(
        "Minimum share of an endpoint's slots over time for each class with waiting "
        "requests.",
        default=0.05,
        ge=0.01,
        le=0.2,
    )
    attempts: int = declare_key(
        "Maximum number of attempts per request, including the first.",
        default=3,
        ge=1,
        le=10,
    )
    retry_budget: float = declare_key(
        "Maximum number of retries, as a fraction of requests.",
        default=0.1,
        ge=0,
        le=1,
    )
    queue_limit: Seconds = declare_key(
        "Predicted wait above which an endpoint refuses a request whose class sets "
        "no limit.",
        unit="s",
        default=30,
        gt=0,
        le=86400,
    )
    answer_retention: Seconds = declare_key(
        "Time for which an endpoint retains a finished answer.",
        unit="s",
        default=60,
        ge=0,
        le=3600,
    )
    answer_memory: int = declare_key(
        "Maximum total size of the answers that one endpoint retains.",
        unit="bytes",
        default=64 * 1024 * 1024,
        ge=1024 * 1024,
        le=192 * 1024 * 1024,
    )
    ticket_lifetime: Seconds = declare_key(
        "Time for which a ticket is valid.", unit="s", default=600, gt=0, le=86400
    )
    ticket_table: int = declare_key(
        "Maximum number of tickets that one endpoint process stores.",
        default=50_000,
        ge=1,
        le=200_000,
    )
    subset: int = declare_key(
        "Maximum number of endpoints of one model to which one entry process keeps "
        "streams.",
        default=6,
        ge=1,
        le=256,
    )
    body_limit: int = declare_key(
        "Maximum size of a request body.",
        unit="bytes",
        default=1024 * 1024,
        ge=1024,
        le=2 * 1024 * 1024,
    )


@_section
class ClassDeclaration:
    """``[class NAME]``: one class of requests."""

    name: str = declare_section_name()
    tier: int = declare_key(
        "Service tier; 1 has the highest priority.", ge=1, le=MAX_TIERS
    )
    first_token: Seconds = declare_key(
        "Target time to first token, counted from arrival.",
        unit="s",
        default=2,
        gt=0,
        le=3600,
    )
    between_tokens: Seconds = declare_key(
        "Target inter-token latency.", unit="s", default=0.2, gt=0, le=60
    )
    finish: Seconds = declare_key(
        "Target time for the complete answer, counted from arrival; also the "
        "deadline if `deadline` is not set.",
        unit="s",
        default=60,
        gt=0,
        le=86400,
    )
    deadline: Seconds | None = declare_key(
        "Time after which a request expires; `finish` if not set.",
        unit="s",
        default=None,
        gt=0,
        le=86400,
    )
    repeatable: bool = declare_key(
        "Whether a request may run more than once.", default=True
    )
    ticket: Literal["required", "optional"] = declare_key(
        "Whether requests of a non-repeatable class must carry a ticket.",
        default="required",
    )
    preemptible: bool = declare_key(
        "Whether the engine may pause a request in favour of one with higher priority.",
        default=True,
    )
    floor: float | None = declare_key(
        "Minimum share of the slots; the fleet's default if not set.",
        default=None,
        ge=0.01,
        le=0.2,
    )
    queue_limit: Seconds | None = declare_key(
        "Predicted wait above which an endpoint refuses a request; the fleet's "
        "default if not set.",
        unit="s",
        default=None,
        gt=0,
        le=86400,
    )

    @property
    def is_pausable(self) -> bool:
        """Whether a running request of the class may be paused."""
        return self.preemptible and self.repeatable


@_section
class WorkspaceDeclaration:
    """``[workspace NAME]``: weight and allowed classes of one workspace."""

    name: str = declare_section_name()
    weight: float = declare_key(
        "Share relative to the other workspaces of the same class.",
        default=1,
        ge=0.01,
        le=1000,
    )
    classes: str = declare_key(
        "Classes that it may use, separated by spaces; all if not set.", default=""
    )


@_section
class ModelDeclaration:
    """``[model NAME]``: properties of one model."""

    name: str = declare_section_name()
    context: int = declare_key(
        "Maximum number of tokens of prompt and answer together.",
        unit="tokens",
        default=32768,
        ge=1,
    )


@_section
class ServiceDeclaration:
    """``[service NAME]``: one service that is not a model engine."""

    name: str = declare_section_name()
    class_name: str = declare_key("Class of calls that specify none.")
    timeout: Seconds = declare_key(
        "Timeout of one call.", unit="s", default=10, gt=0, le=3600
    )


@_section
class ExceptionDeclaration:
    """``[exception NAME]``: override of one key of a class, with its reason."""

    name: str = declare_section_name()
    reason: str = declare_key("Why the exception exists; required.", min_length=10)
    class_name: str = declare_key("Class to which it applies.", min_length=1)
    workspace: str = declare_key(
        "Workspace to which it applies; all if not set.", default=""
    )
    until: str = declare_key(
        "Date after which `zinniaramp check` reports the exception, as YYYY-MM-DD.",
        default="",
        pattern=r"^(\d{4}-\d{2}-\d{2})?$",
    )
    set_key: str = declare_key("Key of the class whose value it replaces.")
    set_value: str = declare_key("Replacement value.")


@dataclass(slots=True, kw_only=True, frozen=True)
class Declarations:
    """Checked declarations of one revision.

    Parameters
    ----------
    revision : RevisionId
        Identifier of the revision.
    defaults : Defaults
        Settings of the whole fleet.
    classes, workspaces, models, services, exceptions : dict
        The other sections, by name.
    resolved : dict
        Classes with their exceptions applied, by class and workspace; a cache
        that `resolve_class` fills.
    """

    revision: RevisionId
    defaults: Defaults
    classes: dict[str, ClassDeclaration]
    workspaces: dict[str, WorkspaceDeclaration]
    models: dict[str, ModelDeclaration]
    services: dict[str, ServiceDeclaration]
    exceptions: dict[str, ExceptionDeclaration]
    resolved: dict[str, dict[str, ClassDeclaration]] = field(
        default_factory=dict, repr=False, compare=False
    )
