"""Deterministic subsetting of the endpoints to which an entry opens streams."""

from collections.abc import Iterable
from dataclasses import dataclass

from .rendezvous import rank

__all__ = ["SubsetMember", "choose_subset"]


@dataclass(slots=True, kw_only=True, frozen=True)
class SubsetMember:
    """Host of an endpoint that may belong to a subset, and its data centre."""

    name: str
    data_centre: str


def choose_subset(
    entry: str, members: Iterable[SubsetMember], size: int
) -> list[SubsetMember]:
    """Choose a deterministic subset that is spread over data centres.

    Parameters
    ----------
    entry : str
        Name of the entry host.
    members : iterable of SubsetMember
        All endpoints of one model.
    size : int
        Maximum number of members.

    Returns
    -------
    list of SubsetMember
        At most ``size`` members.  The numbers from any two data centres differ by
        at most one, unless a data centre has no further members.
    """
    by_name = {one.name: one for one in members}
    by_centre: dict[str, list[SubsetMember]] = {}
    for name in rank(entry.encode(), by_name):
        member = by_name[name]
        by_centre.setdefault(member.data_centre, []).append(member)
    chosen: list[SubsetMember] = []
    position = 0
    while len(chosen) < min(size, len(by_name)):
        for group in by_centre.values():
            if position < len(group) and len(chosen) < size:
                chosen.append(group[position])
        position += 1
    return chosen
