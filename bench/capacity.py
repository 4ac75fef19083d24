"""Recomputes the tables of docs/CAPACITY.md from recorded measurements.

Each table is delimited by two HTML comments; everything else on the page is
left unchanged. Run as `make capacity`.
"""

from pathlib import Path
from re import DOTALL, Match
from re import compile as compile_pattern

from bench.capacity_model import (
    Budget,
    Measurements,
    PlannedSize,
    TableRow,
    compute_calls,
    compute_claims,
    compute_faults,
    compute_proxy,
    compute_relay,
    compute_source,
)

PAGE = Path(__file__).parents[1] / 'docs' / 'CAPACITY.md'
_TABLE = compile_pattern(r'<!-- table: (\w+) -->\n.*?<!-- end -->', DOTALL)
_HEADER = (
    '| quantity | value | bound | fits | from |\n'
    + '| --- | --- | --- | --- | --- |\n'
)


def render_page(page: str, measured: Measurements) -> str:
    """Returns the page with every table recomputed."""
    size = PlannedSize()
    tables = {
        'proxy': compute_proxy(measured, size, Budget()),
        'relay': compute_relay(measured, size),
        'source': compute_source(measured, size),
        'calls': compute_calls(measured, size),
        'claims': compute_claims(measured, size),
        'faults': compute_faults(measured, size),
    }

    def replace(match: Match[str]) -> str:
        rows = ''.join(map(_render_row, tables[match[1]]))
        return f'<!-- table: {match[1]} -->\n{_HEADER}{rows}<!-- end -->'

    return _TABLE.sub(replace, page)


def main() -> None:
    """Recomputes the tables and rewrites the page."""
    page = PAGE.read_text()
    PAGE.write_text(render_page(page, Measurements.from_folder()))


def _render_row(row: TableRow) -> str:
    bound = '' if row.bound is None else _render_quantity(row.bound, row.unit)
    cells = (
        row.name,
        _render_quantity(row.value, row.unit),
        bound,
        row.fits,
        row.source,
    )
    return f'| {" | ".join(cells)} |\n'


def _render_quantity(value: float, unit: str) -> str:
    return (
        f'{value:,.3g} {unit}'.strip()
        if value < 1000
        else (f'{value:,.0f} {unit}'.strip())
    )


if __name__ == '__main__':
    main()
