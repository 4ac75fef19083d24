"""Lists the replicas that the replicated log has agreed on.

Replicas are relays too. A daemon whose settings contain only a few seed
addresses discovers the other replicas, and replacements, from this list.
"""

from bilberry_core.board import ClaimEpoch
from bilberry_core.endpoint import Address
from bilberry_core.settings import Peer


def list_replicas(epoch: ClaimEpoch | None) -> tuple[Peer, ...]:
    """Returns the replicas of an epoch; empty if there is no epoch."""
    if epoch is None:
        return ()
    return tuple(
        Peer(
            holder.instance,
            Address(holder.host, holder.port),
            holder.failure_domain,
        )
        for holder in epoch.holders
    )
