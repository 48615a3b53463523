"""HTTP client sessions that never resend a request by themselves."""

import aiohttp

__all__ = ["new_session"]


def new_session(connect_s: float, reuse: bool = True) -> aiohttp.ClientSession:
    """Open a client session; `reuse` False closes each connection after one request."""
    connector = aiohttp.TCPConnector(limit=0, force_close=not reuse)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )
    # aiohttp resends PUT, DELETE and other idempotent methods when a reused connection breaks,
    # which would run a request twice; it offers no public switch.
    session._retry_connection = False
    return session
