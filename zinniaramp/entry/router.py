"""Routing of attempts: candidates, policy, retry budget and outlier ejection."""

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

RECONNECT_TIMEOUT = timedelta(seconds=1)
"""Timeout for streams that are being opened, if no peer is usable."""

FAILURE_KINDS = {AttemptKind.FAILED, AttemptKind.LOST}
"""Attempt results that count as failures for outlier ejection."""

FAILURE_REASONS = {RefusalReason.ENGINE_UNAVAILABLE, NOT_ACCEPTED}
"""Reasons that count as failures whatever the result."""


class Router:
    """Chooses the endpoint of each attempt.

    Parameters
    ----------
    peers : PeerSet
        Endpoint processes and the streams to them.
    key : str
        The fleet's key, used to verify tickets.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of all randomness.
    policy : str
        Name of the routing policy, a key of `zinniaramp.routing.POLICIES`.
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
        self, call: Call, attempt_id_for: Callable[[str], str], tried: set[str]
    ) -> Peer | None:
        """Choose an endpoint and log the decision.

        Parameters
        ----------
        call : Call
            The request.
        attempt_id_for : callable
            Returns the attempt's id for a host name.
        tried : set of str
            Addresses of endpoints that are not chosen again.

        Returns
        -------
        Peer or None
            None if no untried endpoint is usable.
        """
        peers = await self.usable(call.target)
        untried = {peer.host: peer for peer in peers if peer.address not in tried}
        names = self.ejections.usable(list(untried))
        if not names:
            return None
        candidates = [untried[name].candidate() for name in names]
        context = RoutingContext(
            affinity_key=call.affinity_key,
            number=self.decisions,
            random_source=self.random_source,
        )
        self.decisions += 1
        chosen = untried[POLICIES[self.policy](candidates, context).name]
        weighed = [untried[name] for name in names]
        self.log_choice(call, attempt_id_for(chosen.host), chosen, weighed)
        return chosen

    async def usable(self, target: str) -> list[Peer]:
        """Return usable peers; if there are none, wait for streams being opened.

        The wait is limited to `RECONNECT_TIMEOUT`.
        """
        peers = self.peers.usable(target)
        if peers:
            return peers
        pending_dials = [
            asyncio.create_task(peer.dial_finished.wait())
            for peer in self.peers.peers.values()
            if not peer.dial_finished.is_set()
        ]
        if not pending_dials:
            return []
        try:
            await asyncio.wait(pending_dials, timeout=RECONNECT_TIMEOUT.total_seconds())
        finally:
            for task in pending_dials:
                task.cancel()
        return self.peers.usable(target)

    def log_choice(
        self, call: Call, attempt_id: str, chosen: Peer, weighed: list[Peer]
    ) -> None:
        """Log a routing decision."""
        emit(
            ATTEMPT_ROUTED,
            attempt=attempt_id,
            target=call.target,
            **{"class": call.class_declaration.name},
            workspace=call.workspace,
            chosen=chosen.host,
            policy=self.policy,
            weighed=[_candidate_fields(peer) for peer in weighed],
        )

    def record_result(self, peer: Peer, result: AttemptResult) -> None:
        """Record the result of an attempt for outlier ejection."""
        is_failure = result.kind in FAILURE_KINDS or result.reason in FAILURE_REASONS
        if is_failure:
            self.ejections.record_failure(peer.host)
        else:
            self.ejections.record_success(peer.host)


def _candidate_fields(peer: Peer) -> dict:
    candidate = peer.candidate()
    return {
        "host": candidate.name,
        "in_flight": candidate.in_flight,
        "reported": candidate.reported,
        "unreported": candidate.unreported,
        "width": candidate.width,
        "latency_s": round(candidate.latency_s, 4),
    }
