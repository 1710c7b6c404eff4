"""Checking callers' requests against one revision of the declarations."""

import json
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from ..declarations import ClassDeclaration, Declarations, resolve_class
from .errors import CallerError, ErrorCode

__all__ = [
    "Call",
    "ChatRequest",
    "TicketBody",
    "check_body",
    "class_of",
    "deadline_after",
    "workspace_of",
]

CLASS_HEADER = "Zinniaramp-Class"
WORKSPACE_HEADER = "Zinniaramp-Workspace"
TICKET_HEADER = "Idempotency-Key"

BUILT_IN_CLASS = ClassDeclaration(name="default", tier=1)
"""Class of requests while no class is declared."""

BUILT_IN_WORKSPACE = "default"
"""Workspace of requests while no workspace is declared."""

MAX_NAME_LENGTH = 200
"""Longest name of a model or service, in characters."""

MAX_MESSAGES = 10_000
"""Most messages of one chat request."""

AFFINITY_PREFIX_LENGTH = 512
"""Characters of the prompt that decide prefix affinity."""


class ChatRequest(BaseModel):
    """The checked fields of a chat request; others are passed on."""

    model_config = ConfigDict(strict=True, extra="allow")

    model: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    messages: list[dict[str, Any]] = Field(min_length=1, max_length=MAX_MESSAGES)
    stream: bool | None = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    metadata: dict[str, Any] | None = None

    def prompt_prefix(self) -> str:
        """Return the first characters of the prompt."""
        return json.dumps(self.messages)[:AFFINITY_PREFIX_LENGTH]


class TicketBody(BaseModel):
    """Body of ``POST /v1/tickets``; headers stand in for what is left out."""

    model_config = ConfigDict(
        strict=True, extra="forbid", populate_by_name=True, serialize_by_alias=True
    )

    target: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    class_name: str = Field(default="", alias="class")
    workspace: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """One caller's request, checked; handled wholly under one revision.

    Parameters
    ----------
    target : str
        Model or plain service.
    class_declaration : ClassDeclaration
        Its class.
    workspace : str
        Its workspace.
    declarations : Declarations
        The revision that was in force on arrival.
    ticket : str
        What the caller sent as `Idempotency-Key`.
    method, path : str
        Method and path at the engine or service.
    headers : list of list of str
        Headers to pass on.
    body : bytes
        Body to pass on.
    affinity_key : bytes
        Decides prefix affinity.
    arrived, deadline : datetime
        When it came, and when it is given up.
    """

    target: str
    class_declaration: ClassDeclaration
    workspace: str
    declarations: Declarations
    ticket: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    affinity_key: bytes
    arrived: datetime
    deadline: datetime


def check_body(model: type[BaseModel], body: bytes) -> Result[Any, CallerError]:
    """Parse a JSON body and check its fields.

    Returns
    -------
    Result
        The model; or an error that names the first field at fault.
    """
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as failure:
        first = failure.errors(include_url=False, include_input=False)[0]
    if first["type"] == "json_invalid":
        return Err(
            CallerError(
                status=400,
                code=ErrorCode.INVALID_JSON,
                message=f"body is not JSON ({first['msg']}); send one JSON object",
            )
        )
    field = ".".join(str(part) for part in first["loc"])
    return Err(
        CallerError(
            status=400,
            code=ErrorCode.INVALID_FIELD,
            message=f"{field or 'body'}: {first['msg']}; correct it and send again",
            param=field,
        )
    )


def workspace_of(
    declarations: Declarations, headers: HTTPHeaders, named: str = ""
) -> Result[str, CallerError]:
    """Return a request's workspace."""
    name = named or headers.get(WORKSPACE_HEADER, "") or declarations.defaults.workspace
    known = declarations.workspaces
    if not known and name in ("", BUILT_IN_WORKSPACE):
        return Ok(BUILT_IN_WORKSPACE)
    if name in known:
        return Ok(name)
    return Err(
        CallerError(
            status=400,
            code=ErrorCode.UNKNOWN_WORKSPACE,
            message=f"{WORKSPACE_HEADER} is {name!r:.80}; send a declared workspace",
            param=WORKSPACE_HEADER,
        )
    )


def class_of(
    declarations: Declarations,
    headers: HTTPHeaders,
    workspace: str,
    *,
    named: str = "",
    default: str = "",
) -> Result[ClassDeclaration, CallerError]:
    """Return a request's class as it holds for its workspace.

    Parameters
    ----------
    declarations : Declarations
        The revision in force.
    headers : HTTPHeaders
        The request's headers.
    workspace : str
        The request's workspace.
    named : str
        Class that the body names.
    default : str
        Class of requests that name none; the fleet's default if empty.
    """
    default = default or declarations.defaults.class_name
    name = named or headers.get(CLASS_HEADER, "") or default
    if not declarations.classes and name in ("", BUILT_IN_CLASS.name):
        return Ok(BUILT_IN_CLASS)
    if name not in declarations.classes:
        known = ", ".join(sorted(declarations.classes)[:20])
        return Err(
            CallerError(
                status=400,
                code=ErrorCode.UNKNOWN_CLASS,
                message=f"{CLASS_HEADER} is {name!r:.80}; send one of: {known}",
                param=CLASS_HEADER,
            )
        )
    declared = declarations.workspaces.get(workspace)
    allowed = declared.classes.split() if declared else []
    if allowed and name not in allowed:
        return Err(
            CallerError(
                status=403,
                code=ErrorCode.CLASS_NOT_ALLOWED,
                message=f"workspace {workspace!r} may not use class {name!r}; "
                f"send one of: {', '.join(allowed)}",
                param=CLASS_HEADER,
            )
        )
    return Ok(resolve_class(declarations, name, workspace))


def deadline_after(
    arrived: datetime, declared: ClassDeclaration, *, at_most: timedelta | None = None
) -> datetime:
    """Return when a request is given up."""
    time = declared.deadline or declared.finish
    if at_most is not None:
        time = min(time, at_most)
    return arrived + time
