"""Allocates TCP ports on loopback without conflicts between processes.

Ports are allocated in blocks. A process owns a block while it listens on the
block's first port, so fleets that are launched at the same time never share a
block. All blocks are below the kernel's range of ephemeral ports.
"""

from collections.abc import Iterator
from itertools import islice
from socket import create_server, socket

_HOST = '127.0.0.1'
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_BLOCK_PORTS = 200

_owned_blocks: dict[int, socket] = {}


def pick_ports(count: int) -> list[int]:
    """Returns free ports and acquires further blocks if necessary.

    Raises `OSError` if no free block is left.
    """
    ports = list(islice(filter(_is_free, _list_ports()), count))
    if len(ports) < count:
        raise OSError(f'fewer than {count} ports are free on loopback')
    return ports


def _list_ports() -> Iterator[int]:
    """Yields the ports of owned blocks, then of newly acquired blocks."""
    yield from _list_block_ports(tuple(_owned_blocks))
    for start in range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS):
        if start not in _owned_blocks and _acquire_block(start):
            yield from _list_block_ports((start,))


def _list_block_ports(starts: tuple[int, ...]) -> Iterator[int]:
    for start in starts:
        yield from range(start + 1, start + _BLOCK_PORTS)


def _acquire_block(start: int) -> bool:
    try:
        _owned_blocks[start] = create_server((_HOST, start))
    except OSError:
        return False
    return True


def _is_free(port: int) -> bool:
    try:
        create_server((_HOST, port)).close()
    except OSError:
        return False
    return True
