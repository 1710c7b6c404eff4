"""One connection in the account: where it was accepted, and what it holds."""

from collections.abc import Callable
from datetime import datetime
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .account import Account

__all__ = ["Holder", "Kind", "Phase"]


class Kind(Enum):
    """Listener that accepted a connection."""

    CALLER = "caller"
    PEER = "peer"
    READINESS = "readiness"
    METRICS = "metrics"
    OPERATOR = "operator"


class Phase(Enum):
    """What a connection waits for."""

    REFUSED = "refused"
    """The request was refused; the rest of its body is read and discarded."""

    HEAD = "head"
    """No complete header block has arrived on the connection, or only a part of the
    next one."""

    BODY = "body"
    """A part of a body has arrived; nothing of the request has been sent."""

    IDLE = "idle"
    """A request was answered, and nothing of the next one has arrived."""

    ANSWER = "answer"
    """An answer waits for its caller to read."""

    RUNNING = "running"
    """The request is being handled; such a connection is never evicted."""


class Holder:
    """One connection, and what it holds.

    Parameters
    ----------
    account : Account
        Account of the process.
    kind : Kind
        Listener that accepted the connection.
    evict : callable
        Closes the connection; called at most once, with the phase.
    count_unread : callable
        Returns how many bytes wait in the connection's receive buffer.

    Attributes
    ----------
    phase : Phase
        What the connection waits for.
    since : datetime
        When the phase began.
    charged : int
        Bytes of the request and of its answer.
    buffered : int
        Bytes that were received and not used yet.
    unread : int
        Bytes that waited in the receive buffer when it was last measured.
    is_open : bool
        Whether the connection counts.
    is_running : bool
        Whether its request may have a connection to an endpoint.
    """

    __slots__ = (
        "account",
        "kind",
        "evict",
        "count_unread",
        "phase",
        "since",
        "charged",
        "buffered",
        "unread",
        "is_open",
        "is_running",
    )

    def __init__(
        self,
        *,
        account: "Account",
        kind: Kind,
        evict: Callable[[Phase], None],
        count_unread: Callable[[], int],
    ):
        self.account = account
        self.kind = kind
        self.evict = evict
        self.count_unread = count_unread
        self.phase = Phase.HEAD
        self.since: datetime = account.clock()
        self.charged = 0
        self.buffered = 0
        self.unread = 0
        self.is_open = True
        self.is_running = False

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        if phase is self.phase or not self.is_open:
            return
        queues = self.account.queues[self.kind]
        queues[self.phase].pop(self, None)
        self.phase = phase
        self.since = self.account.clock()
        queues[phase][self] = None

    def receive(self, count: int) -> None:
        """Charge bytes that were received."""
        self.buffered += count
        self.account.add(count)
        if self.phase is Phase.IDLE:
            self.enter(Phase.HEAD)

    def set_buffered(self, count: int) -> None:
        """Set the number of received bytes that were not used yet."""
        if self.is_open:
            self.account.add(count - self.buffered)
            self.buffered = count

    def charge(self, count: int) -> None:
        """Charge bytes that can't be refused any more."""
        if self.is_open:
            self.charged += count
            self.account.add(count)

    def reserve(self, count: int) -> bool:
        """Charge bytes if there is room for them, evicting others if necessary.

        Returns
        -------
        bool
            Whether the bytes were charged; if not, refuse the request.
        """
        if not self.account.make_room(self, count):
            return False
        self.charge(count)
        return True

    def release(self) -> None:
        """Give back all that was charged for the request and its answer."""
        self.account.add(-self.charged)
        self.charged = 0

    def end_run(self) -> None:
        """End the request: give back all that was charged for it."""
        self.release()
        if self.is_running:
            self.is_running = False
            self.account.running -= 1

    def close(self) -> None:
        """Remove the connection from the account."""
        if not self.is_open:
            return
        self.end_run()
        self.set_buffered(0)
        self.is_open = False
        self.account.remove(self)
