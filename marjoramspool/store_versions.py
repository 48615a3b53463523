"""Versions of the store's contents, which rise even if the store is restored from an older copy.

Fault: the store comes back from a copy that is some seconds old. Its revision numbers go back and
are given out a second time, for other contents. The store counts its restorations as an epoch; a
version combines both, so that comparing two versions is right across restorations.
"""

__all__ = ["MAX_EPOCH", "REVISION_BITS", "combine", "epoch_of", "revision_of"]

# Versions remain exact in JSON, where numbers have 53 bits.
REVISION_BITS = 40
MAX_EPOCH = (1 << (53 - REVISION_BITS)) - 1


def combine(epoch: int, revision: int) -> int:
    """Return the version of a revision that the store gave out in an epoch."""
    return (epoch << REVISION_BITS) | revision


def epoch_of(version: int) -> int:
    """Return the epoch of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision number of a version."""
    return version & ((1 << REVISION_BITS) - 1)
