"""Runs many seeded schedules of faults, and prints each seed that fails.

`python -m bench.soak --seed 0 --count 20000` runs 20000 seeds from 0 on. The
seed also selects the fleet and the profile of faults.
"""

from argparse import ArgumentParser
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from sys import exit as sys_exit
from time import perf_counter

from bilberry_core.error import BilberryError

from tests.bilberry_replica.events import PROFILES, run_schedule

FLEETS = ('a', 'aab', 'abc', 'aabbc', 'abcde')
#: Number of events in one schedule.
STEPS = 400
#: Number of processes that run schedules.
WORKERS = 3
#: Number of seeds that a process fetches at once.
CHUNK = 50
CASES = tuple(product(FLEETS, PROFILES))


def run_seed(seed: int) -> str:
    """Runs one schedule; returns its failure, or an empty string."""
    domains, profile = CASES[seed % len(CASES)]
    try:
        run_schedule(seed, domains, STEPS, profile)
    except (AssertionError, BilberryError) as error:
        return f'seed {seed}, fleet {domains}, {profile}: {error}'
    return ''


def run_seeds(first: int, count: int) -> Iterator[str]:
    """Runs the seeds in several processes; yields each failure."""
    seeds = range(first, first + count)
    with ProcessPoolExecutor(WORKERS) as pool:
        yield from filter(None, pool.map(run_seed, seeds, chunksize=CHUNK))


def main() -> None:
    """Runs the seeds on the command line; exits with 1 if any fails."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--count', type=int, default=20_000)
    arguments = parser.parse_args()
    started = perf_counter()
    failures = 0
    for failure in run_seeds(arguments.seed, arguments.count):
        failures += 1
        print(failure, flush=True)
    took_s = perf_counter() - started
    print(f'{arguments.count} schedules in {took_s:.1f} s: {failures} failed')
    sys_exit(bool(failures))


if __name__ == '__main__':
    main()
