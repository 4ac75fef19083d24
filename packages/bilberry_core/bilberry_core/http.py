"""A small HTTP/1.1 client and server that buffer whole, bounded messages.

They use h11 and serve the operators' interface, the upstream's announcements
and the command line. Callers' requests use the proxy's own streaming code.
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
