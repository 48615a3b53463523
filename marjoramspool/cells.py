"""Cells: groups of engines of one service that one admission owner decides for."""

import math

from marjoramspool import hashing
from marjoramspool.document import Document
from marjoramspool.placement import Holder

__all__ = ["cell_key", "cell_names", "cell_of", "engines_of", "owner_order", "service_of"]


def cell_names(document: Document) -> list[str]:
    """Return the cells of a service."""
    count = max(1, math.ceil(len(document.targets) / document.cell_engines))
    return [f"{document.name}/{index}" for index in range(count)]


def cell_key(cell: str) -> int:
    """Return the hash key of a cell."""
    return hashing.digest(cell)


def service_of(cell: str) -> str:
    """Return the service that a cell belongs to."""
    return cell.rpartition("/")[0]


def home_cell(document: Document, engine: str) -> str:
    """Return the cell of an engine."""
    return hashing.rank(hashing.digest(engine), cell_names(document))[0]


def engines_of(document: Document, cell: str) -> list[str]:
    """Return the engines of a cell."""
    return [name for name in document.targets if home_cell(document, name) == cell]


def cell_of(
    document: Document, chat: int, holders: tuple[Holder, ...], usable: set[str]
) -> str | None:
    """Return the cell that serves a chat; None if no engine of the service is usable."""
    for holder in holders:
        if holder.engine in usable and holder.engine in document.targets:
            return home_cell(document, holder.engine)
    populated = {home_cell(document, name) for name in usable}
    order = hashing.rank(chat, populated)
    return order[0] if order else None


def owner_order(cell: str, routers: set[str]) -> list[str]:
    """Return the routers in the order in which they may own a cell."""
    return hashing.rank(cell_key(cell), routers)
