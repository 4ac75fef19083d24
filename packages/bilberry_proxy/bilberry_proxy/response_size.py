"""Averages the size of the responses of each route.

This handles large responses on slow links: where they go is chosen by the
links that they cross, which for small ones makes no difference.
"""

from bilberry_proxy.http_headers import CONTENT_LENGTH, Headers, find_header

#: Mean size of a response, in bytes, from which a route counts as long.
LONG_BYTES = 32 << 10
#: Largest size that counts, in bytes; a longer one is taken as this.
MAX_BYTES = 1 << 30
#: Digits of a length that may be a number of bytes.
_MAX_DIGITS = 15
#: Weight of the newest response in the exponential moving average.
_WEIGHT = 0.1


def parse_length(headers: Headers) -> int | None:
    """Returns the length that a response names; None if it names none."""
    length = find_header(headers, CONTENT_LENGTH)
    if not length.isdigit() or len(length) > _MAX_DIGITS:
        return None
    return int(length)


class ResponseSizes:
    """The average response size of each route, as one proxy observes it."""

    def __init__(self, max_routes: int | None = None) -> None:
        """Starts without observations.

        Of more than `max_routes` the first one is forgotten, if that is set.
        """
        self._means: dict[tuple[str, str], float] = {}
        self._max_routes = max_routes

    def update(self, route: tuple[str, str], size: int) -> None:
        """Adds a response of `size` bytes to the average."""
        size = min(size, MAX_BYTES)
        mean = self._means.get(route, size)
        self._means[route] = mean + (size - mean) * _WEIGHT
        if self._max_routes and len(self._means) > self._max_routes:
            self._means.pop(next(iter(self._means)))

    def estimate(self, route: tuple[str, str]) -> int:
        """Returns the usual size of a long response, in bytes, else 0."""
        return int(self._means[route]) if self.is_long(route) else 0

    def is_long(self, route: tuple[str, str]) -> bool:
        """Returns whether the responses of a route are long."""
        return self._means.get(route, 0) > LONG_BYTES
