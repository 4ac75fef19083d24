"""Recognizes calls that the upstream beside this daemon makes for a request.

This handles services that call each other under load. A request that waits for
a call of its upstream holds its slot there, so a call that is refused, or that
waits behind new requests, wastes the work done so far and fills one service
after the other. Such calls are therefore urgent.
"""

#: Separates the ID of a request from what a call made for it appends.
_ID_SEPARATOR = '.'


class RunningRequests:
    """The IDs of the requests that run at the upstream beside this daemon.

    IDs are hierarchical: the ID of a call begins with the ID of the request
    for which it is made. Only requests that run now are recognized, so a
    caller can't make a request urgent by its ID alone.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of different IDs."""
        return len(self._counts)

    def add(self, request_id: str) -> None:
        """Records that a request begins to run; an empty ID is not kept."""
        if request_id:
            self._counts[request_id] = self._counts.get(request_id, 0) + 1

    def remove(self, request_id: str) -> None:
        """Records that a request no longer runs."""
        count = self._counts.pop(request_id, 0) - 1
        if count > 0:
            self._counts[request_id] = count

    def is_call_of_one(self, request_id: str) -> bool:
        """Returns whether a call is made for a request that runs now."""
        parent = request_id.rpartition(_ID_SEPARATOR)[0]
        while parent:
            if parent in self._counts:
                return True
            parent = parent.rpartition(_ID_SEPARATOR)[0]
        return False
