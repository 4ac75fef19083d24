"""Averages the service time of each route, without the wait for a slot."""

_US_PER_S = 1_000_000
#: Weight of the newest response in the exponential moving average.
_WEIGHT = 0.05


class ServiceTimes:
    """The average service time of each route, as one proxy observes it."""

    def __init__(self) -> None:
        self._means_s: dict[tuple[str, str], float] = {}

    def update(
        self,
        route: tuple[str, str],
        latency_s: float,
        waited_us: int,
    ) -> None:
        """Adds a response that took `latency_s` seconds to the average.

        `waited_us` is the part spent waiting for a slot, in microseconds.
        """
        service_s = max(latency_s - waited_us / _US_PER_S, 0)
        mean_s = self._means_s.get(route, service_s)
        self._means_s[route] = mean_s + (service_s - mean_s) * _WEIGHT

    def estimate_s(self, route: tuple[str, str]) -> float:
        """Returns the expected service time, in seconds; 0 if unknown."""
        return self._means_s.get(route, 0)
