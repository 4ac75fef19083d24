"""Parses durations and sizes in settings and configurations.

`parse_duration_ms` reads values such as `250ms`, `7s`, `5m`, `24h`;
`parse_size` reads `512B`, `64KiB`, `8MiB`.
"""

from re import compile as compile_pattern

from returns.result import Failure, Result, Success

_DURATION = compile_pattern(r'(\d{1,9})(ms|s|m|h)')
_SIZE = compile_pattern(r'(\d{1,9})(B|KiB|MiB)')
_MS_BY_UNIT = {'ms': 1, 's': 1000, 'm': 60_000, 'h': 3_600_000}
_BYTES_BY_UNIT = {'B': 1, 'KiB': 1 << 10, 'MiB': 1 << 20}


def parse_duration_ms(text: object) -> Result[int, str]:
    """Returns a duration in milliseconds, or what was expected."""
    match = _DURATION.fullmatch(str(text))
    if match is None:
        return Failure(f'expected a duration such as 250ms or 7s, got {text!r}')
    return Success(int(match[1]) * _MS_BY_UNIT[match[2]])


def parse_size(text: object) -> Result[int, str]:
    """Returns a size in bytes, or what was expected."""
    match = _SIZE.fullmatch(str(text))
    if match is None:
        return Failure(f'expected a size such as 64KiB, got {text!r}')
    return Success(int(match[1]) * _BYTES_BY_UNIT[match[2]])
