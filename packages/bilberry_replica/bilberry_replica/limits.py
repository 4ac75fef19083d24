"""Bounds of the log and of the changes of a replica."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Bounds of a replica.

    `log_bytes`, `log_entries`
        Growth of the journal after which the log is compacted
        (default: 8 MiB, 4096).
    `kept_entries`
        Entries kept behind a snapshot for replicas that lag (default: 64).
    `open_entries`
        Uncommitted entries above which changes are refused (default: 256).
    """

    log_bytes: int = 8 << 20
    log_entries: int = 4096
    kept_entries: int = 64
    open_entries: int = 256
