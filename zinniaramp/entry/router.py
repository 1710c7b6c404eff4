"""Routing of attempts: candidates, policy, retry budget, ejections."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..contracts import RefusalReason
from ..observability import emit
from ..routing import POLICIES, Ejections, RetryBudget, RoutingContext
from .attempt import NOT_ACCEPTED, AttemptKind, AttemptResult
from .events import ATTEMPT_ROUTED
from .peer_set import PeerSet
from .peers import Peer
from .requests import Call

__all__ = ["Router"]

RELEARN_TIMEOUT = timedelta(seconds=1)
"""Longest wait for streams that are being opened, if none is open."""

FAILURES = {AttemptKind.FAILED, AttemptKind.LOST}
"""Results that leave an endpoint out for a while."""

FAILURE_REASONS = {RefusalReason.ENGINE_UNAVAILABLE, NOT_ACCEPTED}
"""Reasons that do so too."""


class Router:
    """Chooses the endpoint of each attempt.

    Parameters
    ----------
    peers : PeerSet
        Endpoint processes with streams.
    key : str
        The fleet's key, with which tickets are signed.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of all randomness.
    policy : str
        Name in `zinniaramp.routing.POLICIES`.
    """

    def __init__(
        self,
        *,
        peers: PeerSet,
        key: str,
        clock: Clock,
        random_source: Random,
        policy: str,
    ):
        self.peers = peers
        self.key = key
        self.clock = clock
        self.random_source = random_source
        self.policy = policy
        self.budget = RetryBudget()
        self.ejections = Ejections(clock=clock, random_source=random_source)
        self.decisions = 0

    async def choose(
        self, call: Call, label: Callable[[str], str], tried: set[str]
    ) -> Peer | None:
        """Choose an endpoint and log the decision.

        Parameters
        ----------
        call : Call
            The request.
        label : callable
            Returns the attempt's identity for a host.
        tried : set of str
            Addresses that are not to be chosen again.

        Returns
        -------
        Peer or None
            None if no other endpoint can take it.
        """
        peers = await self.usable(call.target)
        untried = {one.host: one for one in peers if one.address not in tried}
        names = self.ejections.usable(list(untried))
        if not names:
            return None
        candidates = [untried[name].candidate() for name in names]
        choice = RoutingContext(
            affinity_key=call.affinity_key,
            number=self.decisions,
            random_source=self.random_source,
        )
        self.decisions += 1
        chosen = untried[POLICIES[self.policy](candidates, choice).name]
        weighed = [untried[name] for name in names]
        self.log_choice(call, label(chosen.host), chosen, weighed)
        return chosen

    async def usable(self, target: str) -> list[Peer]:
        """Return usable peers, after a bounded wait if streams are being opened."""
        peers = self.peers.usable(target)
        if peers:
            return peers
        unsettled = [
            asyncio.create_task(peer.settled.wait())
            for peer in self.peers.peers.values()
            if not peer.settled.is_set()
        ]
        if not unsettled:
            return []
        try:
            await asyncio.wait(unsettled, timeout=RELEARN_TIMEOUT.total_seconds())
        finally:
            for task in unsettled:
                task.cancel()
        return self.peers.usable(target)

    def log_choice(
        self, call: Call, attempt_id: str, chosen: Peer, weighed: list[Peer]
    ) -> None:
        """Write the log line of a routing decision."""
        emit(
            ATTEMPT_ROUTED,
            attempt=attempt_id,
            target=call.target,
            **{"class": call.class_declaration.name},
            workspace=call.workspace,
            chosen=chosen.host,
            policy=self.policy,
            weighed=[_weighed(one) for one in weighed],
        )

    def note_result(self, peer: Peer, result: AttemptResult) -> None:
        """Leave out endpoints that fail, and use again those that answer."""
        is_failure = result.kind in FAILURES or result.reason in FAILURE_REASONS
        if is_failure:
            self.ejections.record_failure(peer.host)
        else:
            self.ejections.record_success(peer.host)


def _weighed(peer: Peer) -> dict:
    candidate = peer.candidate()
    return {
        "host": candidate.name,
        "in_flight": candidate.in_flight,
        "reported": candidate.reported,
        "unreported": candidate.unreported,
        "width": candidate.width,
        "latency_s": round(candidate.latency_s, 4),
    }
