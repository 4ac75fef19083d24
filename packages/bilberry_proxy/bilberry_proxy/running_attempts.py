"""The attempts of one request that may still get a response.

The current attempt is the latest. Silent ones were made before it: their
endpoints did not respond, which does not mean that they never will.
"""

from bilberry_core.verdict import Failure, Verdict

from bilberry_proxy.attempt import Attempt
from bilberry_proxy.retry import may_have_arrived


class RunningAttempts:
    """The current attempt of a request, and silent ones before it."""

    def __init__(self) -> None:
        """Starts without an attempt."""
        self.current: Attempt | None = None
        self._silent: list[Attempt] = []
        self._arrived: list[Attempt] = []

    @property
    def arrivals(self) -> int:
        """Number of attempts that may have reached an upstream."""
        return len(self._arrived)

    @property
    def verdict(self) -> Verdict:
        """Whether an upstream may run the request in an open attempt."""
        current = self.current
        if current is not None and not current.ended:
            if current.answer_started:
                return Verdict.RAN
            return Verdict.MAY_HAVE_RUN
        return Verdict.MAY_HAVE_RUN if self._silent else Verdict.NOT_RUN

    def count_arrival(self, attempt: Attempt, failure: Failure) -> None:
        """Counts an attempt once if it may have reached an upstream."""
        if may_have_arrived(failure) and attempt not in self._arrived:
            self._arrived.append(attempt)

    def set_silent(self, attempt: Attempt) -> None:
        """Marks the current attempt as silent, so that another may follow."""
        self._silent.append(attempt)
        self.current = None

    def remove_silent(self, attempt: Attempt) -> bool:
        """Removes a silent attempt that failed; False if it was not silent."""
        if attempt not in self._silent:
            return False
        self._silent.remove(attempt)
        return True

    def resume_silent(self) -> bool:
        """Makes the newest silent attempt the current one, if there is one."""
        if self._silent:
            self.current = self._silent.pop()
            return True
        return False

    def keep_only(self, attempt: Attempt) -> None:
        """Cancels all attempts but one, which becomes the current one."""
        self.remove_silent(attempt)
        if self.current is attempt:
            self.current = None
        self.cancel()
        self.current = attempt

    def cancel(self) -> None:
        """Cancels all attempts."""
        attempts = [*self._silent, self.current]
        self._silent.clear()
        for attempt in attempts:
            if attempt is not None:
                attempt.cancel()
