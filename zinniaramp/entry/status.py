"""Status report of an entry process."""

from dataclasses import dataclass

from ..contracts import Load
from .peers import Peer

__all__ = ["EntryStatus", "PeerStatus", "peer_status"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerStatus:
    """State of an endpoint process as this entry process sees it.

    Parameters
    ----------
    host, address, incarnation : str
        Name of the host, stream address, and incarnation of the process.
    state : str
        ``open``, ``silent``, ``unreachable``, ``leaving`` or ``retired``.
    serves : list of str
        Models and services that it serves.
    in_flight : int
        Attempts and ticket requests in flight.
    latency_s : float
        Moving average of the time to first token, in seconds.
    load : Load
        Latest load report.
    """

    host: str
    address: str
    incarnation: str
    state: str
    serves: list[str]
    in_flight: int
    latency_s: float
    load: Load


@dataclass(slots=True, kw_only=True, frozen=True)
class EntryStatus:
    """State of an entry process.

    Parameters
    ----------
    is_ready, is_draining : bool
        Whether it can route requests, and whether it is draining.
    in_flight : int
        Requests being received, processed or answered.
    retry_budget : float
        Retries that the retry budget allows now.
    revision_index : int
        Index of the current revision.
    policy : str
        Name of the routing policy.
    peers : list of PeerStatus
        Status of each endpoint process.
    """

    is_ready: bool
    is_draining: bool
    in_flight: int
    retry_budget: float
    revision_index: int
    policy: str
    peers: list[PeerStatus]


def peer_status(peer: Peer) -> PeerStatus:
    """Return the status of a peer."""
    return PeerStatus(
        host=peer.host,
        address=peer.address,
        incarnation=peer.incarnation,
        state=_state(peer),
        serves=sorted(peer.serves),
        in_flight=len(peer.inboxes),
        latency_s=peer.latency_s,
        load=peer.load,
    )


def _state(peer: Peer) -> str:
    if peer.is_silent:
        return "silent"
    if peer.connection is None:
        return "unreachable"
    if peer.is_leaving:
        return "leaving"
    return "retired" if peer.is_retired else "open"
