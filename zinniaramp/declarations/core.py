"""The declarations of one revision and their keys."""

from dataclasses import field
from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from ..contracts import RevisionId
from ..ini import Seconds, declare_key, section_name

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
"""Number of service tiers."""


@_section
class Defaults:
    """``[defaults]``: what holds for the whole fleet."""

    class_name: str = declare_key("Class of requests that name none.", default="")
    workspace: str = declare_key("Workspace of requests that name none.", default="")
    floor: float = declare_key(
        "Share of an endpoint's slots that each class with waiting requests gets "
        "at least, over time.",
        default=0.05,
        ge=0.01,
        le=0.2,
    )
    attempts: int = declare_key(
        "Most attempts of one request, the first included.", default=3, ge=1, le=10
    )
    retry_budget: float = declare_key(
        "Attempts beyond the first, as a share of requests.",
        default=0.1,
        ge=0,
        le=1,
    )
    queue_limit: Seconds = declare_key(
        "Predicted wait above which an endpoint refuses a request of a class that "
        "sets no own limit.",
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
        "Bytes of answers that one endpoint retains at most.",
        unit="bytes",
        default=64 * 1024 * 1024,
        ge=1024 * 1024,
        le=192 * 1024 * 1024,
    )
    ticket_lifetime: Seconds = declare_key(
        "Time for which a ticket may be used.", unit="s", default=600, gt=0, le=86400
    )
    ticket_table: int = declare_key(
        "Tickets that one endpoint process holds at most.",
        default=50_000,
        ge=1,
        le=200_000,
    )
    subset: int = declare_key(
        "Endpoints of one model that one entry process streams to at most.",
        default=6,
        ge=1,
        le=256,
    )
    body_limit: int = declare_key(
        "Largest request body.",
        unit="bytes",
        default=1024 * 1024,
        ge=1024,
        le=2 * 1024 * 1024,
    )


@_section
class ClassDeclaration:
    """``[class NAME]``: one class of requests."""

    name: str = section_name()
    tier: int = declare_key("Service tier; 1 is served first.", ge=1, le=MAX_TIERS)
    first_token: Seconds = declare_key(
        "Target for the first token, counted from arrival.",
        unit="s",
        default=2,
        gt=0,
        le=3600,
    )
    between_tokens: Seconds = declare_key(
        "Target for the time between tokens.", unit="s", default=0.2, gt=0, le=60
    )
    finish: Seconds = declare_key(
        "Target for the whole answer; also the time after which a request is "
        "given up, unless `deadline` says otherwise.",
        unit="s",
        default=60,
        gt=0,
        le=86400,
    )
    deadline: Seconds | None = declare_key(
        "Time after which a request is given up; `finish` if left out.",
        unit="s",
        default=None,
        gt=0,
        le=86400,
    )
    repeatable: bool = declare_key(
        "Whether a request may be attempted again.", default=True
    )
    ticket: Literal["required", "optional"] = declare_key(
        "Whether callers of a non-repeatable class must bring a ticket.",
        default="required",
    )
    preemptible: bool = declare_key(
        "Whether the engine may pause a request for one of a lower-numbered tier.",
        default=True,
    )
    floor: float | None = declare_key(
        "Least share of slots; the fleet's default if left out.",
        default=None,
        ge=0.01,
        le=0.2,
    )
    queue_limit: Seconds | None = declare_key(
        "Predicted wait above which an endpoint refuses; the fleet's default if "
        "left out.",
        unit="s",
        default=None,
        gt=0,
        le=86400,
    )

    @property
    def is_pausable(self) -> bool:
        """Whether a request of the class may be paused once it runs."""
        return self.preemptible and self.repeatable


@_section
class WorkspaceDeclaration:
    """``[workspace NAME]``: one workspace."""

    name: str = section_name()
    weight: float = declare_key(
        "Share among workspaces of the same class.", default=1, ge=0.01, le=1000
    )
    classes: str = declare_key(
        "Classes that it may use, separated by spaces; all if left out.", default=""
    )


@_section
class ModelDeclaration:
    """``[model NAME]``: one model."""

    name: str = section_name()
    context: int = declare_key(
        "Tokens of prompt and answer.", unit="tokens", default=32768, ge=1
    )


@_section
class ServiceDeclaration:
    """``[service NAME]``: one plain service."""

    name: str = section_name()
    class_name: str = declare_key("Class of its calls that name none.")
    timeout: Seconds = declare_key(
        "Longest time of one call.", unit="s", default=10, gt=0, le=3600
    )


@_section
class ExceptionDeclaration:
    """``[exception NAME]``: a departure from the above, with its reason."""

    name: str = section_name()
    reason: str = declare_key("Why it is there; required.", min_length=10)
    class_name: str = declare_key("Class to which it applies.", min_length=1)
    workspace: str = declare_key(
        "Workspace to which it applies; all if left out.", default=""
    )
    until: str = declare_key(
        "Date after which `zinniaramp check` reports it, as YYYY-MM-DD.",
        default="",
        pattern=r"^(\d{4}-\d{2}-\d{2})?$",
    )
    set_key: str = declare_key("Key of the class that it replaces.")
    set_value: str = declare_key("Value in place of the class's.")


@dataclass(slots=True, kw_only=True, frozen=True)
class Declarations:
    """The content of one revision, checked.

    Parameters
    ----------
    revision : RevisionId
        Which revision this is.
    defaults : Defaults
        What holds for the whole fleet.
    classes, workspaces, models, services, exceptions : dict
        The other sections, by name.
    resolved : dict
        Classes with their exceptions applied, by class and workspace; filled
        by `resolve_class` as it is asked.
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
