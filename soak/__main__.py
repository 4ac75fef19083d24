"""Runs the soak with successive seeds and prints the broken promises.

Usage: `python -m soak --seed 1 --count 50 --seconds 20`. The folder of a seed
that broke a promise, with settings, logs and records, is kept. With
`--full-links` each seed plays stops while links carry less than is asked.
"""

from argparse import ArgumentParser
from asyncio import run
from sys import exit as exit_process

from soak.full_links import run_full_links
from soak.run import Report, run_seed

_DEFAULT_S = 15.0


def main() -> None:
    """Runs the seeds given on the command line."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DEFAULT_S)
    parser.add_argument('--full-links', action='store_true')
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        report = run(
            run_full_links(seed)
            if arguments.full_links
            else run_seed(seed, arguments.seconds)
        )
        print(describe(report), flush=True)
        failed += bool(report.broken)
    print(f'{arguments.count} seeds, {failed} failed')
    exit_process(bool(failed))


def describe(report: Report) -> str:
    """Returns a report as human-readable text."""
    head = f'seed {report.seed}: {report.answered} answered, '
    faults = f'{len(report.faults)} faults'
    if not report.broken:
        return f'{head}{faults}, every promise held'
    kept = f'kept in {report.folder}'
    lines = [f'{head}{faults}', kept, *report.broken, *report.faults]
    return '\n    '.join(lines)


if __name__ == '__main__':
    main()
