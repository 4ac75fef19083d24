"""Draws the plots of docs/MEASUREMENTS.md from the recorded measurements.

Needs the packages of requirements-plots.txt. Run as `make plots`.
"""

from json import loads
from pathlib import Path
from typing import Any, NamedTuple

from matplotlib import rcParams
from matplotlib.figure import Figure

_DOCS = Path(__file__).parents[1] / 'docs'
_SIZE_INCHES = (6, 3.5)
#: Number of services of the fleets in the plots over fleet size.
_SERVICES = 100

#: Points of one curve: (x, y).
Curve = list[tuple[float, float]]


class Plot(NamedTuple):
    """A plot with its labels, and its curves by name."""

    name: str
    x_label: str
    title: str
    curves: dict[str, Curve]


def main() -> None:
    """Draws every plot into docs/plots."""
    # A fixed salt makes the SVG files reproducible.
    rcParams['svg.hashsalt'] = 'bilberryspread'
    folder = _DOCS / 'plots'
    folder.mkdir(exist_ok=True)
    for plot in (_plot_convergence(), _plot_source_bytes(), _plot_latency()):
        _draw(plot, folder / f'{plot.name}.svg')


def _plot_convergence() -> Plot:
    return Plot(
        'convergence',
        'proxies',
        'ms until a change is in force everywhere, median',
        _build_curves(lambda fleet: fleet['everywhere']['p50_ms']),
    )


def _plot_source_bytes() -> Plot:
    return Plot(
        'source_bytes',
        'proxies',
        'bytes a second out of the source, while changes are made',
        _build_curves(
            lambda fleet: fleet['changing']['source']['sent_bytes_per_s'],
        ),
    )


def _plot_latency() -> Plot:
    rates = _read('call')['reads']['rates']
    curves = {
        f'{variant}, {percentile}': [
            (rate['calls_per_s'], rate['added_ms'][variant][percentile])
            for rate in rates
        ]
        for variant in ('proxy', 'naive')
        for percentile in ('p50', 'p99')
    }
    return Plot('latency', 'calls a second', 'ms added to a read', curves)


def _build_curves(get_y: Any) -> dict[str, Curve]:
    curves: dict[str, Curve] = {}
    for fleet in _read('spread')['fleets']:
        if fleet['services'] == _SERVICES:
            point = (fleet['proxies'], get_y(fleet))
            curves.setdefault(fleet['kind'], []).append(point)
    return curves


def _draw(plot: Plot, path: Path) -> None:
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    for name, points in plot.curves.items():
        axes.plot(*zip(*points, strict=True), marker='o', label=name)
    axes.set_xlabel(plot.x_label)
    axes.set_title(plot.title, fontsize='small')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path, metadata={'Date': None})


def _read(name: str) -> dict[str, Any]:
    return loads((_DOCS / 'measurements' / f'{name}.json').read_text())


if __name__ == '__main__':
    main()
