"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank"]

WEIGHT_BYTES = 8
"""Bytes of hash that order the names."""


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Return names in the order that a key prefers them.

    Parameters
    ----------
    key : bytes
        Key, at most 64 bytes are significant after hashing.
    names : iterable of str
        Distinct names.

    Returns
    -------
    list of str
        Every process computes the same order; removing a name does not change
        the order of the others.
    """
    digest = blake2b(key).digest()

    def weight(name: str) -> bytes:
        return blake2b(name.encode(), key=digest, digest_size=WEIGHT_BYTES).digest()

    return sorted(names, key=lambda name: (weight(name), name))
