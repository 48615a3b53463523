"""JSON responses of the stand-ins."""

import msgspec
from aiohttp import web

__all__ = ["reply"]


def reply(body, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
