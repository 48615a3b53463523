"""Rejections of client requests before they are forwarded."""

from aiohttp import web

__all__ = ["RejectedError", "check_header_size", "rejection_response"]

RETRY_AFTER_S = 1.0
HTTP_UNAVAILABLE = 503
# Bytes of a header line besides name and value: colon, space, CR and LF.
HEADER_OVERHEAD_BYTES = 4


class RejectedError(Exception):
    """The request is rejected before it is forwarded, with a status and a reason."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status

    @property
    def retry_after_s(self) -> float | None:
        """Return when to send the request again, None if that does not help."""
        return RETRY_AFTER_S if self.status == HTTP_UNAVAILABLE else None


def check_header_size(http_request: web.BaseRequest, max_bytes: int) -> None:
    """Raise RejectedError if the headers of a request are longer than `max_bytes` bytes."""
    size = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in http_request.raw_headers
    )
    if size > max_bytes:
        raise RejectedError(431, f"the headers have {size} bytes, more than {max_bytes}")


def rejection_response(error: RejectedError) -> web.Response:
    """Return the answer to a rejected request."""
    response = web.Response(status=error.status, text=f"{error}\n")
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{error.retry_after_s:.2f}"
    return response
