"""Limits of the account, derived from those of the host."""

from dataclasses import dataclass

__all__ = ["IntakeLimits", "derive_limits"]

MEBIBYTE = 1024 * 1024
"""Unit of ``memory_mb``."""

FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files, of those of the host."""

MAX_FILE_SHARE = 0.5
"""Largest share of the descriptors that is reserved for files."""

OWN_SHARE = 0.25
"""Largest share of the other descriptors that is reserved for the process itself."""

OWN_DESCRIPTORS = 96
"""Descriptors that are reserved for the process itself: the store, 40 connections to
peers, reads of cached segments and health calls, and listeners."""

UNKNOWN_BYTES = 12 * MEBIBYTE
"""Memory for what the account doesn't know and that does not grow with the host: reads
in progress and connections that are being opened and closed."""

BUDGET_SHARE = 0.75
"""Share of the other memory beyond that of the idle process that connections may hold.
The rest is for free memory that the allocator keeps, and for the growth of the
configuration and of caches."""

HIGH_WATER_SHARE = 0.92
"""Share of the host's memory above which the account lets nothing more in, whatever it
knows."""


@dataclass(slots=True, kw_only=True, frozen=True)
class IntakeLimits:
    """Limits on what connections of callers and peers may hold.

    Parameters
    ----------
    budget : float
        Bytes that they may hold together; infinite if the host names no limit.
    high_water : float
        Resident memory of the process, in bytes, that it should not exceed.
    sockets : float
        Descriptors for the connections of callers and peers, and for the sends of the
        callers' requests; infinite if the host names no limit.
    peers, readiness, metrics : float
        Largest number of connections at each of these listeners; that of operators has
        as many as the one for readiness.
    receive_room : float
        Bytes that may wait in the receive buffers of all connections together.
    """

    budget: float
    high_water: float
    sockets: float
    peers: float
    readiness: float
    metrics: float
    receive_room: float


def derive_limits(
    *, memory_mb: float | None, max_fds: float | None, resident_bytes: int
) -> IntakeLimits:
    """Return the limits of a host with so much memory and so many descriptors.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the host in MiB; None if it names no limit.
    max_fds : float or None
        Descriptors of the host; None if it names no limit.
    resident_bytes : int
        Resident memory of the idle process.
    """
    infinite = float("inf")
    memory = infinite if memory_mb is None else memory_mb * MEBIBYTE
    descriptors = infinite if max_fds is None else max_fds
    budget = max(MEBIBYTE, (memory - resident_bytes - UNKNOWN_BYTES) * BUDGET_SHARE)
    sockets = descriptors - min(FILE_DESCRIPTORS, descriptors * MAX_FILE_SHARE)
    sockets -= min(OWN_DESCRIPTORS, sockets * OWN_SHARE)
    return IntakeLimits(
        budget=budget,
        high_water=memory * HIGH_WATER_SHARE,
        sockets=sockets,
        # 330 gateways may connect, and each of today's hosts has room for them.
        peers=min(400, sockets / 4),
        # A load balancer's few checkers and a scraper use one connection each.
        readiness=min(64, sockets / 12),
        metrics=min(32, sockets / 24),
        receive_room=memory * (1 - HIGH_WATER_SHARE),
    )
