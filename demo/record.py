"""The runs that stand-in upstreams recorded, by request id."""

from collections import Counter
from collections.abc import Iterable
from json import loads
from urllib.request import urlopen

from demo.fleet import Fleet

_TIMEOUT_S = 2.0


def read_runs(fleet: Fleet, instances: Iterable[str]) -> Counter[str]:
    """Returns how often each request ran at these instances' upstreams."""
    runs: Counter[str] = Counter()
    for instance in instances:
        port = fleet.members[instance].ports.served
        url = f'http://127.0.0.1:{port}/runs'
        with urlopen(url, timeout=_TIMEOUT_S) as answer:
            runs.update(loads(answer.read())['runs'])
    return runs
