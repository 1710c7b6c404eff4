"""Stand-in for the configuration service, with reads and long-poll watches."""

import asyncio
import configparser
import hashlib
import io
from collections import deque
from dataclasses import asdict, dataclass
from datetime import timedelta
from pathlib import Path

import fire
import tornado.locks
from result import Err, Ok, Result

from ..clock import Clock, monotonic_clock
from ..ini import Problem, parse_ini
from .history import History
from .serving import Call, Controls, Faults, StandinHandler, serve

__all__ = ["ConfigurationService", "Revision", "Section", "split_sections"]

RATE_WINDOW = timedelta(seconds=1)
"""Sliding window over which calls are counted for the rate limit."""

LONGEST_WATCH_SECONDS = 60
"""Upper limit of the wait of one watch, in seconds."""


NOTIFY_MARGIN_SECONDS = 0.002
"""Delay of the wakeup of watches after a revision becomes visible, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Section:
    """One section of a published text.

    Parameters
    ----------
    name : str
        Heading of the section.
    digest : str
        Hexadecimal SHA-256 of `text`.
    text : str
        The section as INI text, with its heading.
    """

    name: str
    digest: str
    text: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Revision:
    """One published configuration.

    Parameters
    ----------
    index : int
        Number of the revision, which rises by 1 with each publication.
    digest : str
        Hexadecimal SHA-256 of the sections' digests.
    sections : list of Section
        The sections in the order of the published text.
    """

    index: int
    digest: str
    sections: list[Section]


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _single_section(parser: configparser.ConfigParser, name: str) -> Section:
    section_parser = configparser.ConfigParser(interpolation=None, default_section="")
    section_parser[name] = parser[name]
    buffer = io.StringIO()
    section_parser.write(buffer)
    text = buffer.getvalue()
    return Section(name=name, digest=_sha256(text), text=text)


def split_sections(text: str) -> Result[list[Section], Problem]:
    """Split INI text into sections, each of which is INI text with one heading.

    Parameters
    ----------
    text : str
        INI text with any number of sections.

    Returns
    -------
    Result
        The sections in order, or the `Problem` that prevents parsing.
    """
    match parse_ini(text, file="published"):
        case Err(problem):
            return Err(problem)
        case Ok(parser):
            return Ok([_single_section(parser, name) for name in parser.sections()])


def _make_revision(index: int, sections: list[Section]) -> Revision:
    digest = _sha256("".join(section.digest for section in sections))
    return Revision(index=index, digest=digest, sections=sections)


class ConfigurationService:
    """Publishes revisions and wakes the watches that wait for them.

    Parameters
    ----------
    sections : list of Section
        Content of the first revision.
    index : int
        Index of the first revision.
    reads_per_s : float
        Rate limit, in calls per second; a read or a watch is one call.
    controls : Controls
        Faults and request log.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        sections: list[Section],
        index: int,
        reads_per_s: float,
        controls: Controls,
        clock: Clock,
    ):
        initial = _make_revision(index, sections)
        self.revisions = History(initial=initial, clock=clock)
        self.reads_per_s = reads_per_s
        self.recent_calls: deque = deque()
        self.controls = controls
        self.controls.on_change = self.notify_watches
        self.clock = clock
        self.changed = tornado.locks.Condition()

    def notify_watches(self) -> None:
        """Wake every watch, which then checks the visible revision."""
        self.changed.notify_all()

    def visible_revision(self) -> Revision:
        """Return the revision that reads return, given the active faults."""
        if self.controls.faults.stale:
            return self.revisions.previous()
        return self.revisions.as_of(self.controls.faults.lag_s)

    def publish(self, sections: list[Section]) -> Revision:
        """Publish sections as the next revision and return it."""
        revision = _make_revision(self.revisions.latest().index + 1, sections)
        self.revisions.record(revision)
        delay = self.controls.faults.lag_s + NOTIFY_MARGIN_SECONDS
        asyncio.get_running_loop().call_later(delay, self.notify_watches)
        return revision

    def admit_call(self) -> bool:
        """Return whether a call is below the rate limit, and count it if so."""
        now = self.clock()
        while self.recent_calls and self.recent_calls[0] <= now - RATE_WINDOW:
            self.recent_calls.popleft()
        if len(self.recent_calls) >= self.reads_per_s:
            return False
        self.recent_calls.append(now)
        return True

    async def watch(self, index: int, wait_s: float) -> Revision:
        """Return the visible revision when its index exceeds `index`, or at a timeout.

        Parameters
        ----------
        index : int
            Index of the newest revision that the caller has.
        wait_s : float
            Timeout in seconds; 0 or less returns at once.
        """
        deadline = self.clock() + timedelta(seconds=wait_s)
        while self.visible_revision().index <= index and self.clock() < deadline:
            await self.changed.wait(timeout=deadline - self.clock())
        return self.visible_revision()


class SectionsHandler(StandinHandler):
    """Handler of ``GET /v1/sections``, both reads and watches."""

    async def get(self):
        """Answer with the visible revision; a watch first waits for a newer one."""
        service = self.state
        now = service.clock().timestamp()
        call = Call(method="GET", path=self.request.uri, started=now)
        self.controls.log.append(call)
        if not service.admit_call():
            self.set_header("Retry-After", str(int(RATE_WINDOW.total_seconds())))
            message = f"more than {service.reads_per_s} calls a second; come back later"
            await self.reply_error(429, "rate_limited", message)
            return
        try:
            index = int(self.get_query_argument("index", "-1"))
            wait_s = float(self.get_query_argument("wait_s", "0"))
        except ValueError:
            message = "index is an integer and wait_s a number of seconds"
            await self.reply_error(400, "invalid_request", message)
            return
        wait_s = min(max(0.0, wait_s), LONGEST_WATCH_SECONDS)
        await self.reply(asdict(await service.watch(index, wait_s)))


class PublishHandler(StandinHandler):
    """Handler of ``POST /standin/publish``, with which operators publish."""

    def prepare(self):
        """Publish even while the stand-in refuses requests."""

    async def post(self):
        """Publish the INI text of the body as the next revision."""
        text = self.request.body.decode(errors="replace")
        match split_sections(text):
            case Err(problem):
                self.set_status(400)
                self.write({"error": {"message": str(problem)}})
            case Ok(sections):
                revision = self.state.publish(sections)
                self.write({"index": revision.index, "digest": revision.digest})


ROUTES = [("/v1/sections", SectionsHandler), ("/standin/publish", PublishHandler)]
"""Path pattern and handler class of each route."""


async def run(
    *, port: int, sections: list[Section], index: int, reads_per_s: float
) -> None:
    """Serve until the process ends."""
    controls = Controls(faults=Faults())
    service = ConfigurationService(
        sections=sections,
        index=index,
        reads_per_s=reads_per_s,
        controls=controls,
        clock=monotonic_clock(),
    )
    await serve(ROUTES, port=port, controls=controls, state=service)


def main(
    *, port: int, file: str = "", index: int = 0, reads_per_s: float = 2000
) -> None:
    """Serve a stand-in for the configuration service on loopback.

    Parameters
    ----------
    port : int
        TCP port.
    file : str
        INI file with the first revision; the revision is empty without it.
    index : int
        Index of the first revision.
    reads_per_s : float
        Rate limit, in calls per second; a read or a watch is one call.
    """
    text = Path(file).read_text() if file else ""
    sections = split_sections(text).unwrap()
    asyncio.run(run(port=port, sections=sections, index=index, reads_per_s=reads_per_s))


if __name__ == "__main__":
    fire.Fire(main)
