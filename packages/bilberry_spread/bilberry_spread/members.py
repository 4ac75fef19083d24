"""The relays that the replicated log knows of, where settings name a few.

Replicas relay too. A daemon whose settings hold only a few addresses to start
from learns the others, and who has replaced whom, from the agreed members.
"""

from bilberry_core.board import ClaimEpoch
from bilberry_core.endpoint import Address
from bilberry_core.settings import Peer


def list_replicas(epoch: ClaimEpoch | None) -> tuple[Peer, ...]:
    """Returns the replicas that an epoch agrees on."""
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
