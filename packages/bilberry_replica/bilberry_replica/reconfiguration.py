"""Membership changes that an operator or the claim holders request."""

from bilberry_core.messages.replica import MembershipRequest, ReadReply

from bilberry_replica.driver import Driver
from bilberry_replica.leading import propose_membership
from bilberry_replica.member import end_handover, remove_member
from bilberry_replica.requests import LeaderRequests, repeat_until_answered


class Reconfiguration:
    """Membership changes that are sent to the leader for logging."""

    def __init__(self, driver: Driver, requests: LeaderRequests) -> None:
        """Sends requests on behalf of one replica."""
        self._driver = driver
        self._requests = requests

    async def remove(self, instance: str, timeout_s: float) -> bool:
        """Removes a replica; returns whether the leader proposed that."""
        return await self._request(
            MembershipRequest(0, remove=instance),
            timeout_s,
        )

    async def end_handover(self, epoch: int, timeout_s: float) -> bool:
        """Ends a handover of claims; returns whether that was proposed."""
        return await self._request(
            MembershipRequest(0, settled=epoch),
            timeout_s,
        )

    def receive(self, sender: str, request: MembershipRequest) -> None:
        """Proposes a membership change for a follower."""
        index = self._propose(request)
        self._driver.send(sender, ReadReply(request.request, index))

    async def _request(
        self,
        request: MembershipRequest,
        timeout_s: float,
    ) -> bool:

        async def attempt(remaining_s: float) -> int | None:
            return await self._try_once(request, remaining_s)

        index = await repeat_until_answered(self._driver, attempt, timeout_s)
        return index is not None

    async def _try_once(
        self,
        request: MembershipRequest,
        remaining_s: float,
    ) -> int | None:
        if self._driver.replica.node.is_leader:
            return self._propose(request)
        try:
            reply = await self._requests.send_request(
                lambda number: request._replace(request=number),
                remaining_s,
            )
        except TimeoutError:
            return None
        return reply.index if reply else None

    def _propose(self, request: MembershipRequest) -> int | None:
        replica = self._driver.replica
        if request.remove:
            wanted = remove_member(replica.node.membership, request.remove)
        else:
            wanted = end_handover(replica.node.membership, request.settled)
        is_proposed = self._driver.run_event(
            propose_membership, replica, wanted
        )
        return replica.node.log.last_index if is_proposed else None
