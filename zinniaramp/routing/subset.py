"""Which endpoints of a model one entry process opens streams to."""

from collections.abc import Iterable
from dataclasses import dataclass

from .rendezvous import rank

__all__ = ["SubsetMember", "choose_subset"]


@dataclass(slots=True, kw_only=True, frozen=True)
class SubsetMember:
    """An endpoint that may belong to a subset."""

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
        Most members to choose.

    Returns
    -------
    list of SubsetMember
        At most ``size``; the numbers from any two data centres differ by at
        most one as long as neither is exhausted.
    """
    by_name = {one.name: one for one in members}
    by_centre: dict[str, list[SubsetMember]] = {}
    for name in rank(entry.encode(), by_name):
        member = by_name[name]
        by_centre.setdefault(member.data_centre, []).append(member)
    chosen: list[SubsetMember] = []
    turn = 0
    while len(chosen) < min(size, len(by_name)):
        for queue in by_centre.values():
            if turn < len(queue) and len(chosen) < size:
                chosen.append(queue[turn])
        turn += 1
    return chosen
