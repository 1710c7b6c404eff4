"""Copies of missing items that are on their way to a process."""

from datetime import datetime, timedelta

from ..clock import Clock
from ..reads import Transfer

__all__ = ["Copies"]

PEER_SILENCE = timedelta(seconds=1)
"""Time without bytes after which a peer that was asked for items counts as silent.

Gateways are milliseconds apart, and packets wait up to 500 ms each way."""


class Copies:
    """Which copies of missing items are on their way.

    A large copy fills a narrow link for seconds, so a process takes one at a time: the
    store's answer waits for a peer's copy, or no peer is asked while the store's answer
    arrives.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    transfer : Transfer or None
        Progress of the store's answer; None before the first call.
    peer : str
        Peer that was asked for items and has not sent them; empty if there is none.
    peer_progressed_at : datetime or None
        Time at which it was asked, or its latest bytes arrived.
    decoding : int
        Number of copies that have arrived and are being decoded.
    """

    __slots__ = ("clock", "transfer", "peer", "peer_progressed_at", "decoding")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.transfer: Transfer | None = None
        self.peer = ""
        self.peer_progressed_at: datetime | None = None
        self.decoding = 0

    def expect(self, peer: str) -> None:
        """Record that a peer was asked for items."""
        self.peer = peer
        self.peer_progressed_at = self.clock()

    def record_bytes(self, peer: str) -> None:
        """Record that bytes of a peer's reply have arrived."""
        if peer == self.peer:
            self.peer_progressed_at = self.clock()

    def end(self) -> None:
        """Record that the peer has sent the items, or is no longer waited for."""
        self.peer = ""

    @property
    def is_peer_sending(self) -> bool:
        """Whether a peer was asked for items lately, or sends them."""
        if not self.peer:
            return False
        is_recent = self.clock() - self.peer_progressed_at < PEER_SILENCE
        return is_recent or self.decoding > 0

    @property
    def is_store_held(self) -> bool:
        """Whether the store's answer waits for a peer's copy."""
        return self.transfer is not None and self.transfer.is_held

    @property
    def is_store_sending(self) -> bool:
        """Whether the store's answer arrives, or an answer is being decoded."""
        transfer = self.transfer
        is_arriving = transfer is not None and transfer.is_arriving
        return (is_arriving and not transfer.is_held) or self.decoding > 0
