"""Closes connections whose peer is permanently silent.

A peer without power or behind a partition sends no reset, so only the
kernel's probes and its limit on unacknowledged bytes show that it is gone.
"""

from asyncio import Transport
from logging import getLogger
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

_log = getLogger(__name__)

#: Silence after which the peer is probed, in seconds.
IDLE_TIMEOUT_S = 1
#: Time between two probes, in seconds.
PROBE_INTERVAL_S = 1
#: Unanswered probes after which the connection is closed.
MAX_UNANSWERED_PROBES = 2
#: Longest time for which sent bytes may remain unacknowledged, in
#: milliseconds.
MAX_UNACKNOWLEDGED_MS = 2000

_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, IDLE_TIMEOUT_S),
    (IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (IPPROTO_TCP, TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
)


def keep_alive(transport: Transport) -> None:
    """Makes the kernel close the connection once the peer is gone."""
    socket = transport.get_extra_info('socket')
    if socket is None:
        return
    try:
        for level, option, setting in _OPTIONS:
            socket.setsockopt(level, option, setting)
    except OSError as error:
        _log.warning('keepalive_unavailable', extra={'cause': str(error)})
