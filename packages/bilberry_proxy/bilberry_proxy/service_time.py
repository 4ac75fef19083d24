"""How long answers of each route take, without the wait for a slot."""

_US_PER_S = 1_000_000
#: Weight of the newest answer in the moving mean.
_WEIGHT = 0.05


class ServiceTimes:
    """Moving means by route, as one proxy sees them."""

    def __init__(self) -> None:
        """Starts with nothing seen."""
        self._means_s: dict[tuple[str, str], float] = {}

    def update(
        self,
        route: tuple[str, str],
        latency_s: float,
        waited_us: int,
    ) -> None:
        """Takes in an answer that came after `latency_s` seconds."""
        service_s = max(latency_s - waited_us / _US_PER_S, 0)
        mean_s = self._means_s.get(route, service_s)
        self._means_s[route] = mean_s + (service_s - mean_s) * _WEIGHT

    def estimate_s(self, route: tuple[str, str]) -> float:
        """Returns the time expected, in seconds; 0 where none was seen."""
        return self._means_s.get(route, 0)
