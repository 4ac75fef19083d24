"""Computes the order in which a daemon prefers relays.

Relays of the daemon's own failure domain come first. Rendezvous hashing
spreads daemons evenly within a failure domain. When a relay is added or
removed, only the daemons that prefer it move.
"""

from collections.abc import Iterable

from bilberry_core.settings import Peer
from xxhash import xxh64_intdigest


def rank_relays(
    instance: str,
    failure_domain: str,
    relays: Iterable[Peer],
) -> tuple[Peer, ...]:
    """Returns the relays in order of preference."""

    def rank(relay: Peer) -> tuple[bool, int]:
        pair = f'{instance}\0{relay.instance}'.encode()
        return relay.failure_domain != failure_domain, xxh64_intdigest(pair)

    return tuple(sorted(relays, key=rank))
