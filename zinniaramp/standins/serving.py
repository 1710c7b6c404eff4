"""What every stand-in serves alike: faults, the log, errors, the listener."""

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
    "problem_text",
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
    """Faults that are in force.

    Parameters
    ----------
    slow : float
        Factor on every time that the stand-in takes.
    silent : bool
        Requests are accepted and carried out, but no byte of an answer is sent.
    refuse : bool
        Requests are answered 503 and not carried out.
    lag_s : float
        Age of what is reported, in seconds.
    stale : bool
        The configuration service answers with the revision before its latest.
    fence : str
        Whether orders with an old fencing number are refused.
    """

    slow: float = Field(default=1, gt=0, le=1000)
    silent: bool = False
    refuse: bool = False
    lag_s: float = Field(default=0, ge=0, le=LONGEST_LAG_SECONDS)
    stale: bool = False
    fence: Literal["checked", "ignored"] = "ignored"


@dataclass(slots=True, kw_only=True)
class Execution:
    """One request that an engine or a plain service took; times are Unix seconds."""

    mark: str
    request_id: str
    started: float | None = None
    finished: float | None = None
    cancelled: bool = False
    tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Call:
    """One call that the configuration service or the host list was asked."""

    method: str
    path: str
    started: float


def _ignore_change() -> None:
    """Do nothing when faults change."""


@dataclass(slots=True, kw_only=True)
class Controls:
    """Faults and log of one stand-in."""

    faults: Faults = field(default_factory=Faults)
    log: list[Execution | Call] = field(default_factory=list)
    audible: asyncio.Event = field(default_factory=asyncio.Event)
    on_change: Callable[[], None] = _ignore_change

    def __post_init__(self):
        self.apply(self.faults)

    def apply(self, faults: Faults) -> None:
        """Put faults in force."""
        self.faults = faults
        if faults.silent:
            self.audible.clear()
        else:
            self.audible.set()
        self.on_change()


def problem_text(failure: ValidationError) -> str:
    """Return one line that names every wrong value of a body."""
    return "; ".join(
        f"{'.'.join(str(part) for part in ('body', *error['loc']))}: {error['msg']}"
        for error in failure.errors()
    )


class StandinHandler(tornado.web.RequestHandler):
    """Base of the stand-ins' handlers."""

    def initialize(self, controls: Controls, state: Any = None):
        """Take the stand-in's controls and its state."""
        self.controls = controls
        self.state = state

    def prepare(self):
        """Refuse the request if that fault is in force."""
        if self.controls.faults.refuse:
            self.set_status(503)
            self.finish({"error": {"message": "refused", "code": "refused"}})

    async def reply(self, value: Any, *, status: int = 200) -> None:
        """Answer with JSON, once the stand-in is not silent."""
        await self.controls.audible.wait()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    async def reply_error(self, status: int, code: str, message: str) -> None:
        """Answer with an error in the shape that OpenAI clients read."""
        error = {"message": message, "type": "invalid_request_error", "code": code}
        await self.reply({"error": error}, status=status)


class LogHandler(StandinHandler):
    """``GET /standin/log``."""

    def prepare(self):
        """Serve whatever faults are in force."""

    def get(self):
        """Answer with the log in order."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps([asdict(entry) for entry in self.controls.log]))


class FaultsHandler(StandinHandler):
    """``POST /standin/faults``."""

    def prepare(self):
        """Serve whatever faults are in force."""

    def post(self):
        """Change the faults that the body names and answer with all of them."""
        try:
            given = TypeAdapter(dict).validate_json(self.request.body)
            merged = json.dumps({**asdict(self.controls.faults), **given})
            faults = TypeAdapter(Faults).validate_json(merged)
        except ValidationError as failure:
            self.set_status(400)
            self.write({"error": {"message": problem_text(failure)}})
            return
        self.controls.apply(faults)
        self.write(asdict(faults))


async def serve(
    routes: list[tuple[str, type]], *, port: int, controls: Controls, state: Any
) -> None:
    """Serve a stand-in on loopback until the process is ended.

    Parameters
    ----------
    routes : list of tuple
        Path pattern and handler class of each call.
    port : int
        TCP port.
    controls : Controls
        Faults and log.
    state : object
        State that the handlers are given.
    """
    common = [("/standin/log", LogHandler), ("/standin/faults", FaultsHandler)]
    given = {"controls": controls, "state": state}
    application = tornado.web.Application(
        [(path, handler, given) for path, handler in [*common, *routes]]
    )
    application.listen(port, LOOPBACK)
    await asyncio.Event().wait()
