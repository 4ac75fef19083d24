"""The runs that stand-in upstreams recorded, by request id."""

from collections import Counter

from demo.fleet import Fleet


def read_runs(fleet: Fleet) -> Counter[str]:
    """Returns how often each request ran, at running and ended upstreams."""
    runs: Counter[str] = Counter()
    for path in fleet.folder.glob('*.runs'):
        runs.update(path.read_text().splitlines())
    return runs
