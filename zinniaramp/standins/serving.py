"""Common base of the stand-ins: faults, the request log, error answers, listener."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any, Literal

import pydantic
import tornado.web
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from .history import LONGEST_LAG_SECONDS

__all__ = [
    "Call",
    "Controls",
    "Execution",
    "Faults",
    "StandinHandler",
    "format_validation_error",
    "serve",
]

LOOPBACK = "127.0.0.1"
"""Address on which stand-ins listen."""


@pydantic.dataclasses.dataclass(
    slots=True,
    kw_only=True,
    config=ConfigDict(strict=True, extra="forbid", allow_inf_nan=False),
)
class Faults:
    """Faults that a stand-in simulates.

    Parameters
    ----------
    slow : float
        Factor by which the stand-in's processing times are multiplied.
    silent : bool
        Whether requests are executed but no byte of an answer is sent.
    refuse : bool
        Whether requests are answered 503 without being executed.
    lag_s : float
        Age of reported data, in seconds.
    stale : bool
        Whether the configuration service returns the revision before its latest.
    fence : str
        Whether orders with an outdated fencing number are refused (``checked``) or
        executed (``ignored``).
    """

    slow: float = Field(default=1, gt=0, le=1000)
    silent: bool = False
    refuse: bool = False
    lag_s: float = Field(default=0, ge=0, le=LONGEST_LAG_SECONDS)
    stale: bool = False
    fence: Literal["checked", "ignored"] = "ignored"


@dataclass(slots=True, kw_only=True)
class Execution:
    """Log entry of one request to an engine or a plain service.

    Parameters
    ----------
    mark : str
        Label that the sender put on the request, to find it in the log.
    request_id : str
        Id of the request, as its sender set it; generated if an engine got none.
    started, finished : float or None
        Start and end of the execution, in Unix seconds; None before.
    cancelled : bool
        Whether the request was cancelled before its answer was complete.
    tokens : int
        Output tokens generated so far; always 0 at a plain service.
    """

    mark: str
    request_id: str
    started: float | None = None
    finished: float | None = None
    cancelled: bool = False
    tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Call:
    """Log entry of one read of the configuration service or the host list.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with its query.
    started : float
        Time of arrival, in Unix seconds.
    """

    method: str
    path: str
    started: float


def _ignore_change() -> None:
    """Do nothing; the default of ``Controls.on_change``."""


@dataclass(slots=True, kw_only=True)
class Controls:
    """Faults and request log of one stand-in.

    Parameters
    ----------
    faults : Faults
        Faults that are active.
    log : list
        One entry for each request, in order of arrival.
    audible : asyncio.Event
        Set unless the stand-in is silent; handlers wait for it before they answer.
    on_change : callable
        Called after the faults have changed.
    """

    faults: Faults = field(default_factory=Faults)
    log: list[Execution | Call] = field(default_factory=list)
    audible: asyncio.Event = field(default_factory=asyncio.Event)
    on_change: Callable[[], None] = _ignore_change

    def __post_init__(self):
        self.apply(self.faults)

    def apply(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        if faults.silent:
            self.audible.clear()
        else:
            self.audible.set()
        self.on_change()


def format_validation_error(failure: ValidationError) -> str:
    """Return one line that lists every invalid field of a body."""
    return "; ".join(
        f"{'.'.join(str(part) for part in ('body', *error['loc']))}: {error['msg']}"
        for error in failure.errors()
    )


class StandinHandler(tornado.web.RequestHandler):
    """Base class of the stand-ins' request handlers."""

    def initialize(self, controls: Controls, state: Any = None):
        """Store the stand-in's controls and its state."""
        self.controls = controls
        self.state = state

    def prepare(self):
        """Answer 503 if the fault ``refuse`` is active."""
        if self.controls.faults.refuse:
            self.set_status(503)
            self.finish({"error": {"message": "refused", "code": "refused"}})

    async def reply(self, value: Any, *, status: int = 200) -> None:
        """Answer with JSON; waits while the stand-in is silent."""
        await self.controls.audible.wait()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    async def reply_error(self, status: int, code: str, message: str) -> None:
        """Answer with an error body in the format of the OpenAI API."""
        error = {"message": message, "type": "invalid_request_error", "code": code}
        await self.reply({"error": error}, status=status)


class LogHandler(StandinHandler):
    """Handler of ``GET /standin/log``."""

    def prepare(self):
        """Serve the log even while the stand-in refuses requests."""

    def get(self):
        """Answer with the log entries in order of arrival."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps([asdict(entry) for entry in self.controls.log]))


class FaultsHandler(StandinHandler):
    """Handler of ``POST /standin/faults``."""

    def prepare(self):
        """Change faults even while the stand-in refuses requests."""

    def post(self):
        """Change the faults given in the body and answer with all faults."""
        try:
            changes = TypeAdapter(dict).validate_json(self.request.body)
            merged = json.dumps({**asdict(self.controls.faults), **changes})
            faults = TypeAdapter(Faults).validate_json(merged)
        except ValidationError as failure:
            self.set_status(400)
            self.write({"error": {"message": format_validation_error(failure)}})
            return
        self.controls.apply(faults)
        self.write(asdict(faults))


async def serve(
    routes: list[tuple[str, type]], *, port: int, controls: Controls, state: Any
) -> None:
    """Serve a stand-in on loopback until the process ends.

    Parameters
    ----------
    routes : list of tuple
        Path pattern and handler class of each route.
    port : int
        TCP port.
    controls : Controls
        Faults and request log.
    state : object
        State shared by the handlers.
    """
    common = [("/standin/log", LogHandler), ("/standin/faults", FaultsHandler)]
    handler_arguments = {"controls": controls, "state": state}
    application = tornado.web.Application(
        [(path, handler, handler_arguments) for path, handler in [*common, *routes]]
    )
    application.listen(port, LOOPBACK)
    await asyncio.Event().wait()
