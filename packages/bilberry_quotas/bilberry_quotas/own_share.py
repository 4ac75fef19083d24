"""Spends a daemon's own share of one organisation's quota."""

from bilberry_core.organisation import Organisation
from bilberry_core.quota import compute_capacity
from bilberry_core.token_bucket import TokenBucket


class OwnShare:
    """The tokens that a daemon has while it is out of touch."""

    def __init__(self, window_s: float, now: float) -> None:
        """Starts empty: the leader may have granted all of it until now."""
        self._window_s = window_s
        self._bucket = TokenBucket(now, window_s)

    def restart(self, now: float) -> None:
        """Starts empty again."""
        self._bucket = TokenBucket(now, self._window_s)

    def take(
        self, organisation: Organisation, divisor: int, now: float
    ) -> bool:
        """Spends a token; False if none is left."""
        self._bucket.advance(
            now,
            organisation.rate / divisor,
            compute_capacity(organisation) / divisor,
        )
        taken = self._bucket.take(1)
        self._bucket.settle(taken)
        return bool(taken)

    def give_back(self) -> None:
        """Takes back a token that was spent for nothing."""
        self._bucket.put(1)
