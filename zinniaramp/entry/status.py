"""What an entry process reports about itself."""

from dataclasses import dataclass

from ..contracts import Load
from .peers import Peer

__all__ = ["EntryStatus", "PeerStatus", "peer_status"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerStatus:
    """One endpoint process as this entry sees it."""

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
        Whether it takes callers' requests.
    in_flight : int
        Requests whose answers are not finished.
    retry_budget : float
        Retries that may be made now.
    revision_index : int
        Revision in force.
    policy : str
        Routing policy.
    peers : list of PeerStatus
        Endpoint processes.
    """

    is_ready: bool
    is_draining: bool
    in_flight: int
    retry_budget: float
    revision_index: int
    policy: str
    peers: list[PeerStatus]


def peer_status(peer: Peer) -> PeerStatus:
    """Return one peer's status."""
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
