"""The revision in force in one process; it only ever goes forward."""

from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err, Ok, Result

from ..clock import Clock, monotonic_clock
from ..contracts import RevisionId, SectionsRequest
from ..declarations import Declarations
from .sections import Section, request_for

__all__ = ["ConfigurationError", "RevisionStore"]

Subscriber = Callable[[Declarations], None]

PULL_TIMEOUT = timedelta(seconds=2)
"""Time after which sections are asked for again, perhaps from another peer."""


KEPT_REVISIONS = 8
"""Revisions that are kept for requests that began under them."""


class ConfigurationError(Exception):
    """A revision cannot be put in force."""


class RevisionStore:
    """Holds the declarations in force and tells subscribers of each change.

    Parameters
    ----------
    initial : Declarations
        What holds until something newer is found.
    sections : tuple of Section
        The sections of ``initial``.
    clock : Clock, optional
        The process's clock.

    Attributes
    ----------
    refused : RevisionId or None
        The newest revision whose content was refused here.
    heard_at : datetime
        When a peer last told its revision.
    has_heard : bool
        Whether any peer has told its revision.
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
        self.kept = {initial.revision.index: initial}
        self.clock = clock or monotonic_clock()
        self.subscribers: list[Subscriber] = []
        self.refused: RevisionId | None = None
        self.heard_at: datetime = self.clock()
        self.has_heard = False
        self.wanted: RevisionId | None = None
        self.asked_at: datetime = self.heard_at
        self.behind_since: datetime = self.heard_at

    def current(self) -> Declarations:
        """Return the declarations in force."""
        return self.declarations

    def at(self, index: int) -> Declarations:
        """Return the declarations of a revision, if kept; else those in force."""
        return self.kept.get(index, self.declarations)

    def revision(self) -> RevisionId:
        """Return the revision in force."""
        return self.declarations.revision

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with the declarations, now and after each change."""
        self.subscribers.append(subscriber)
        subscriber(self.declarations)

    def advance(
        self, newer: Declarations, *, sections: tuple[Section, ...] = ()
    ) -> Result[None, ConfigurationError]:
        """Put a revision in force, unless it is not newer than the present one.

        Parameters
        ----------
        newer : Declarations
            Checked declarations.
        sections : tuple of Section
            Their sections, for peers that ask.

        Returns
        -------
        Result
            Nothing; or `ConfigurationError`, with the present revision kept.
        """
        present = self.revision().index
        if newer.revision.index <= present:
            return Err(
                ConfigurationError(
                    f"revision {newer.revision.index} is not above {present}; "
                    "publish the content again under a new index"
                )
            )
        self.declarations = newer
        self.sections = sections
        self.kept[newer.revision.index] = newer
        while len(self.kept) > KEPT_REVISIONS:
            del self.kept[min(self.kept)]
        for subscriber in self.subscribers:
            subscriber(newer)
        return Ok(None)

    def is_newer(self, revision: RevisionId) -> bool:
        """Tell whether a revision may replace the one in force."""
        if revision.index <= self.revision().index:
            return False
        return self.refused is None or not revision.matches(self.refused)

    def is_pulling(self) -> bool:
        """Tell whether a peer is known to have a newer revision."""
        return self.wanted is not None and self.is_newer(self.wanted)

    def note_index(self, index: int) -> SectionsRequest | None:
        """Note the revision under which a peer handles a request."""
        if self.refused is not None and index <= self.refused.index:
            return None
        return self.note_revision(RevisionId(index=index, digest=""))

    def behind_for(self) -> timedelta:
        """Return for how long a peer has been known to have a newer revision."""
        if not self.is_pulling():
            return timedelta(0)
        return self.clock() - self.behind_since

    def note_revision(self, peer_revision: RevisionId) -> SectionsRequest | None:
        """Note which revision a peer has.

        Call it with the revision of each hello, welcome, ping and pong.

        Parameters
        ----------
        peer_revision : RevisionId
            What the peer said.

        Returns
        -------
        SectionsRequest or None
            What to send to that peer, if it has something newer and no other
            peer was asked for it lately.
        """
        now = self.clock()
        self.heard_at = now
        self.has_heard = True
        if not self.is_newer(peer_revision):
            return None
        if not self.is_pulling():
            self.behind_since = now
        elif (
            peer_revision.index <= self.wanted.index
            and now - self.asked_at < PULL_TIMEOUT
        ):
            return None
        self.wanted = peer_revision
        self.asked_at = now
        return request_for(self.sections)
