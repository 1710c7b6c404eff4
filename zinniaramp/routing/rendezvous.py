"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank"]

WEIGHT_BYTES = 8
"""Length of the hash by which the names are ordered, in bytes."""


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Return names ordered by their weight for a key.

    Parameters
    ----------
    key : bytes
        Key of any length; it is hashed to 64 bytes.
    names : iterable of str
        Distinct names.

    Returns
    -------
    list of str
        The order is the same in every process; removing a name does not change
        the order of the others.
    """
    digest = blake2b(key).digest()

    def weight(name: str) -> bytes:
        return blake2b(name.encode(), key=digest, digest_size=WEIGHT_BYTES).digest()

    return sorted(names, key=lambda name: (weight(name), name))
