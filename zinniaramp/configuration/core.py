"""The revision in force in one process; it only ever goes forward."""

from collections.abc import Callable

from result import Err, Ok, Result

from ..contracts import RevisionId
from ..declarations import Declarations

__all__ = ["ConfigurationError", "RevisionStore"]

Subscriber = Callable[[Declarations], None]


class ConfigurationError(Exception):
    """A revision cannot be put in force."""


class RevisionStore:
    """Holds the declarations in force and tells subscribers of each change.

    Parameters
    ----------
    initial : Declarations
        What holds until something newer is found.
    """

    def __init__(self, *, initial: Declarations):
        self.declarations = initial
        self.subscribers: list[Subscriber] = []

    def current(self) -> Declarations:
        """Return the declarations in force."""
        return self.declarations

    def revision(self) -> RevisionId:
        """Return the revision in force."""
        return self.declarations.revision

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with the declarations, now and after each change."""
        self.subscribers.append(subscriber)
        subscriber(self.declarations)

    def advance(self, newer: Declarations) -> Result[None, ConfigurationError]:
        """Put a revision in force, unless it is not newer than the present one.

        Parameters
        ----------
        newer : Declarations
            Checked declarations.

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
        for subscriber in self.subscribers:
            subscriber(newer)
        return Ok(None)
