"""Small HTTP/1.1 exchanges by h11: whole requests, whole answers, bounded.

For the operators' interface, the upstream's announcements and the command
line. Callers' requests take the proxy's own streaming path.
"""

from bilberry_core.http_client import fetch
from bilberry_core.http_message import (
    MAX_BODY_BYTES,
    Headers,
    HttpError,
    HttpHandler,
    HttpRequest,
    HttpResponse,
)
from bilberry_core.http_server import (
    REQUEST_TIMEOUT_S,
    HttpLimits,
    HttpService,
    serve_http,
)

__all__ = (
    'MAX_BODY_BYTES',
    'REQUEST_TIMEOUT_S',
    'Headers',
    'HttpError',
    'HttpHandler',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpService',
    'fetch',
    'serve_http',
)
