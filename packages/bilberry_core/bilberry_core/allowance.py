"""How a proxy's requests get tokens of their organisation's quota."""

from typing import NamedTuple, Protocol

from bilberry_core.organisation import Organisation


class Token(NamedTuple):
    """The right to run one request of an organisation.

    `term` is that of the leader that granted it; None if it is of the daemon's
    own share. It was given at `given_at`, in seconds of the daemon's time.
    """

    organisation: str
    term: int | None
    given_at: float = 0


class TokenRefusal(NamedTuple):
    """Why a request gets no token.

    `is_exceeded` tells that the quota is used up; otherwise nobody could be
    asked, and what this daemon may spend by itself is used up.
    """

    is_exceeded: bool
    retry_after_ms: int


class TokenWaiter(Protocol):
    """A request that needs a token."""

    def on_token(self, token: Token) -> None:
        """Called when the request may run."""

    def on_token_refused(self, refusal: TokenRefusal) -> None:
        """Called when it may not."""


class Allowances(Protocol):
    """The tokens of one daemon."""

    def ask(
        self,
        organisation: Organisation,
        waiter: TokenWaiter,
        *,
        is_late: bool,
    ) -> None:
        """Calls one method of `waiter`, at once or later.

        `is_late` tells that the request can't be answered in time any more.
        """

    def leave(self, organisation: Organisation, waiter: TokenWaiter) -> None:
        """Takes back a request that waits; its methods are not called."""

    def give_back(self, token: Token) -> None:
        """Takes back the token of a request that did not run."""
