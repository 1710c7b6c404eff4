"""The revision in force in one process, whose index never decreases."""

from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err, Ok, Result

from ..clock import Clock, monotonic_clock
from ..contracts import RevisionId, SectionsRequest
from ..declarations import Declarations
from .sections import Section, make_sections_request

__all__ = ["ConfigurationError", "RevisionStore"]

Subscriber = Callable[[Declarations], None]
IsReceiving = Callable[[], bool]
"""Returns whether a message is arriving over a peer's stream."""

SECTIONS_REQUEST_TIMEOUT = timedelta(seconds=2)
"""Time after which the sections are requested again, from any peer that has them,
unless a reply is arriving."""

MAX_RETAINED_REVISIONS = 8
"""Revisions retained for requests that started under them."""


def receives_nothing() -> bool:
    """Return False: nothing is arriving over a stream that is not known."""
    return False


class ConfigurationError(Exception):
    """A revision was rejected, and the one in force is unchanged."""


class RevisionStore:
    """Holds the declarations in force and notifies subscribers of each change.

    Parameters
    ----------
    initial : Declarations
        Declarations in force until a newer revision arrives.
    sections : tuple of Section
        Sections of ``initial``.
    clock : Clock, optional
        Clock of the process; a new monotonic clock by default.

    Attributes
    ----------
    refused : RevisionId or None
        The last revision whose content failed validation here.
    last_report_at : datetime
        When a peer last reported its revision; initially the time of creation.
    has_peer_report : bool
        Whether any peer has reported its revision.
    requested_revision : RevisionId or None
        The newer revision whose sections were last requested from a peer.
    requested_at : datetime
        When those sections were requested.
    is_reply_arriving : callable
        Returns whether a message is arriving from the peer they were requested from.
    behind_since : datetime
        When a peer first reported a newer revision; meaningful while `is_behind`.
    """

    def __init__(
        self,
        *,
        initial: Declarations,
        sections: tuple[Section, ...] = (),
        clock: Clock | None = None,
    ):
        self.declarations = initial
        self.sections = sections
        self.retained = {initial.revision.index: initial}
        self.clock = clock or monotonic_clock()
        self.subscribers: list[Subscriber] = []
        self.refused: RevisionId | None = None
        self.last_report_at: datetime = self.clock()
        self.has_peer_report = False
        self.requested_revision: RevisionId | None = None
        self.requested_at: datetime = self.last_report_at
        self.is_reply_arriving: IsReceiving = receives_nothing
        self.behind_since: datetime = self.last_report_at

    def current(self) -> Declarations:
        """Return the declarations in force."""
        return self.declarations

    def at(self, index: int) -> Declarations:
        """Return a revision's declarations if retained, else those in force."""
        return self.retained.get(index, self.declarations)

    def revision(self) -> RevisionId:
        """Return the identity of the revision in force."""
        return self.declarations.revision

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with the declarations in force, now and on each change."""
        self.subscribers.append(subscriber)
        subscriber(self.declarations)

    def advance(
        self, newer: Declarations, *, sections: tuple[Section, ...] = ()
    ) -> Result[None, ConfigurationError]:
        """Put a revision in force if its index is above the current one.

        Parameters
        ----------
        newer : Declarations
            Validated declarations.
        sections : tuple of Section
            Their sections, sent to peers on request.

        Returns
        -------
        Result
            ``None``; or `ConfigurationError`, and the revision in force is unchanged.
        """
        current_index = self.revision().index
        if newer.revision.index <= current_index:
            return Err(
                ConfigurationError(
                    f"revision {newer.revision.index} is not above {current_index}; "
                    "publish the content again under a new index"
                )
            )
        self.declarations = newer
        self.sections = sections
        self.retained[newer.revision.index] = newer
        while len(self.retained) > MAX_RETAINED_REVISIONS:
            del self.retained[min(self.retained)]
        for subscriber in self.subscribers:
            subscriber(newer)
        return Ok(None)

    def is_newer(self, revision: RevisionId) -> bool:
        """Return whether a revision has a higher index and was not refused here."""
        if revision.index <= self.revision().index:
            return False
        return self.refused is None or not revision.matches(self.refused)

    def is_behind(self) -> bool:
        """Return whether a peer is known to have a newer revision."""
        return self.requested_revision is not None and self.is_newer(
            self.requested_revision
        )

    def record_peer_index(
        self, index: int, *, is_receiving: IsReceiving = receives_nothing
    ) -> SectionsRequest | None:
        """Record the index of the revision under which a peer handles a request.

        An index alone cannot be compared with the digest of a refused revision.
        Indexes up to that of the refused revision are therefore ignored.

        Parameters
        ----------
        index : int
            Index of the peer's revision.
        is_receiving : callable, optional
            As for `record_peer_revision`.

        Returns
        -------
        SectionsRequest or None
            As for `record_peer_revision`.
        """
        if self.refused is not None and index <= self.refused.index:
            return None
        revision = RevisionId(index=index, digest="")
        return self.record_peer_revision(revision, is_receiving=is_receiving)

    def time_behind(self) -> timedelta:
        """Return how long a peer's newer revision has been known here; zero if none."""
        if not self.is_behind():
            return timedelta(0)
        return self.clock() - self.behind_since

    def record_peer_revision(
        self,
        peer_revision: RevisionId,
        *,
        is_receiving: IsReceiving = receives_nothing,
    ) -> SectionsRequest | None:
        """Record the revision that a peer reports.

        Called with the revision of each `Hello`, `Welcome`, `Ping` and `Pong`.

        Parameters
        ----------
        peer_revision : RevisionId
            Revision in force at the peer.
        is_receiving : callable, optional
            Returns whether a message is arriving over the peer's stream.

        Returns
        -------
        SectionsRequest or None
            Request to send to that peer; ``None`` if its revision is not newer, or
            if sections of the same or a newer revision were requested less than
            `SECTIONS_REQUEST_TIMEOUT` ago or are arriving.
        """
        now = self.clock()
        self.last_report_at = now
        self.has_peer_report = True
        if not self.is_newer(peer_revision):
            return None
        if not self.is_behind():
            self.behind_since = now
        elif (
            peer_revision.index <= self.requested_revision.index
            and self._is_reply_expected(now)
        ):
            return None
        self.is_reply_arriving = is_receiving
        self.requested_revision = peer_revision
        self.requested_at = now
        return make_sections_request(self.sections)

    def _is_reply_expected(self, now: datetime) -> bool:
        is_recent = now - self.requested_at < SECTIONS_REQUEST_TIMEOUT
        return is_recent or self.is_reply_arriving()
