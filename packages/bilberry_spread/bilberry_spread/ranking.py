"""The order in which a proxy prefers relays.

Relays of the proxy's own failure domain come first. Rendezvous hashing
spreads proxies evenly within a failure domain, and moves only those of a
relay that is added or removed.
"""

from collections.abc import Iterable

from bilberry_core.settings import Peer
from xxhash import xxh64_intdigest


def rank_relays(
    instance: str,
    failure_domain: str,
    relays: Iterable[Peer],
) -> tuple[Peer, ...]:
    """Returns the relays, the preferred one first."""

    def rank(relay: Peer) -> tuple[bool, int]:
        pair = f'{instance}\0{relay.instance}'.encode()
        return relay.failure_domain != failure_domain, xxh64_intdigest(pair)

    return tuple(sorted(relays, key=rank))
