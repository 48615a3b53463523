"""Partition of the engines of a service into cells, each with one admission owner."""

import math
from collections.abc import Callable
from functools import lru_cache

from marjoramspool import hashing
from marjoramspool.document import Document
from marjoramspool.placement.bounded_placement import Holder

__all__ = ["cell_key", "cell_names", "cell_of", "engines_of", "service_of"]


DOCUMENT_CACHE_SIZE = 64
CELL_KEY_CACHE_SIZE = 4096


def cell_names(document: Document) -> list[str]:
    """Return the names of the cells of a service."""
    count = max(1, math.ceil(len(document.targets) / document.cell_engines))
    return [f"{document.name}/{index}" for index in range(count)]


@lru_cache(maxsize=CELL_KEY_CACHE_SIZE)
def cell_key(cell: str) -> int:
    """Return the hash key of a cell."""
    return hashing.digest(cell)


def service_of(cell: str) -> str:
    """Return the service that a cell belongs to."""
    return cell.rpartition("/")[0]


@lru_cache(maxsize=DOCUMENT_CACHE_SIZE)
def engines_by_cell(document: Document) -> dict[str, tuple[str, ...]]:
    """Return the engines of each cell of a service."""
    names = cell_names(document)
    members: dict[str, list[str]] = {name: [] for name in names}
    for engine in document.targets:
        members[hashing.rank(hashing.digest(engine), names)[0]].append(engine)
    return {name: tuple(engines) for name, engines in members.items()}


@lru_cache(maxsize=DOCUMENT_CACHE_SIZE)
def cell_by_engine(document: Document) -> dict[str, str]:
    """Return the cell of each engine of a service."""
    return {
        engine: cell for cell, engines in engines_by_cell(document).items() for engine in engines
    }


def engines_of(document: Document, cell: str) -> tuple[str, ...]:
    """Return the engines of a cell."""
    return engines_by_cell(document).get(cell, ())


def cell_of(
    document: Document,
    chat: int,
    holders: tuple[Holder, ...],
    usable: Callable[[tuple[str, ...]], set[str]],
) -> str | None:
    """Return the cell that serves a chat; None if no engine of the service is usable.

    `usable` returns the subset of the given engines that may get new requests.
    """
    cells = cell_by_engine(document)
    for holder in holders:
        if holder.engine in cells and usable((holder.engine,)):
            return cells[holder.engine]
    for cell in hashing.rank(chat, cell_names(document)):
        if usable(engines_of(document, cell)):
            return cell
    return None
