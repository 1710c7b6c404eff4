"""Choice of the peers that are asked for items."""

from collections.abc import Iterable

from .messages import Hello

__all__ = ["choose_peers", "has_wider_link"]

WIDER_LINK_RATIO = 4.0
"""Ratio of two links' rates from which a copy over the wider one, and on in compressed
form, takes much less time than over the narrower one."""


def has_wider_link(peer: Hello, own: Hello) -> bool:
    """Return whether a peer's link is known to be much wider than the own one."""
    if own.link_mbps is None or peer.link_mbps is None:
        return False
    return peer.link_mbps >= WIDER_LINK_RATIO * own.link_mbps


def choose_peers(names: list[str], hellos: Iterable[Hello], *, own: Hello) -> list[str]:
    """Return the nearest of some peers, and those with a wide link among them.

    Parameters
    ----------
    names : list of str
        Addresses of the peers.
    hellos : iterable of Hello
        First messages of the peers that are connected.
    own : Hello
        First message of this process.
    """
    hellos = tuple(hellos)
    near = {one.address for one in hellos if one.data_center == own.data_center}
    wide = {one.address for one in hellos if has_wider_link(one, own)}
    nearest = [name for name in names if name in near] or names
    return [name for name in nearest if name in wide] or nearest
