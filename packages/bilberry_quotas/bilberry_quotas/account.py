"""Counts the tokens of one organisation that one daemon got, on the leader.

A daemon spends its tokens in the order in which they were granted, so totals
tell which ones may still be spent. Reports that are lost or come twice change
nothing: they hold totals too.
"""


class Account:
    """Totals of one daemon in one term, in tokens."""

    def __init__(self, settled: int = 0, returned: int = 0) -> None:
        """Starts without tokens.

        What the daemon had counted until then is of tokens from before its
        organisation's quota was lifted and set again.
        """
        self.granted = 0
        self._settled_before = settled
        self._returned_before = returned
        self._settled = 0
        self._returned = 0

    @property
    def outstanding(self) -> int:
        """Tokens that the daemon may still spend."""
        return self.granted - self._settled

    def settle(self, total: int) -> None:
        """Notes that the first `total` tokens can't be spent any more."""
        self._settled = min(max(self._settled, total), self.granted)

    def settle_counted(self, counted: int) -> None:
        """Notes what the daemon has counted as spent or of no use."""
        self.settle(counted - self._settled_before)

    def collect_returned(self, counted: int) -> int:
        """Returns how many unspent tokens came back since the last call."""
        total = min(counted - self._returned_before, self.granted)
        new = max(total - self._returned, 0)
        self._returned += new
        return new
