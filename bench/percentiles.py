"""Computes percentiles, interpolated between the two nearest times."""

from statistics import quantiles

from bilberry_core.clock import MS_PER_S

PERCENTILES = {'p50': 50, 'p99': 99, 'p99.9': 99.9}
_STEPS = 1000


def compute_percentile(seconds: list[float], percent: float) -> float:
    """Returns a percentile of a non-empty list of times, in seconds."""
    if len(seconds) == 1:
        return seconds[0]
    cuts = quantiles(seconds, n=_STEPS, method='inclusive')
    return cuts[round(percent * _STEPS / 100) - 1]


def summarize(seconds: list[float]) -> dict[str, float]:
    """Returns p50, p99 and p99.9 of times in seconds, as milliseconds."""
    return {
        name: round(compute_percentile(seconds, percent) * MS_PER_S, 3)
        for name, percent in PERCENTILES.items()
    }
