"""Reads the runs that stand-in upstreams have recorded."""

from collections import Counter

from demo.fleet import Fleet


def read_runs(fleet: Fleet) -> Counter[str]:
    """Returns the number of runs of each request ID at all upstreams.

    Upstreams that have ended are included.
    """
    runs: Counter[str] = Counter()
    for path in fleet.folder.glob('*.runs'):
        runs.update(path.read_text().splitlines())
    return runs
