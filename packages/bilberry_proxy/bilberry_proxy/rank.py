"""Ranks the calls that wait for a slot of one upstream."""

from typing import NamedTuple

from bilberry_core.messages.call import SlotRequest
from bilberry_core.policy import Priority


class Rank(NamedTuple):
    """The rank of a call in the queue.

    Within a priority, calls that can still meet their target latency come
    before late ones: in lasting overload as many are served either way, but
    more of them in time. Urgent calls are never late.
    """

    priority: Priority
    is_late: bool = False


DEFERRABLE_RANK = Rank(Priority.DEFERRABLE)
#: All ranks, in the order in which calls get slots.
BY_RANK = (
    Rank(Priority.URGENT),
    Rank(Priority.NORMAL),
    Rank(Priority.NORMAL, is_late=True),
    DEFERRABLE_RANK,
    Rank(Priority.DEFERRABLE, is_late=True),
)


def rank_request(request: SlotRequest) -> Rank:
    """Returns the rank of a request for a slot."""
    priority = request.priority
    return Rank(priority, request.is_late and priority is not Priority.URGENT)
