"""What an upstream says of itself in its responses: a rate limit, a departure.

A notice belongs to one start of an upstream. It says nothing of another one
that later uses the same address or the same daemon.
"""

from math import isfinite
from typing import Annotated, NamedTuple

from msgspec import Meta

from bilberry_core.bounds import Number, OptionalName

#: Largest rate limit that an upstream may name, in requests a second.
MAX_RATE_LIMIT = 1e6


class UpstreamIdentity(NamedTuple):
    """One start of an upstream.

    `upstream_id` is the ID that it announced, `started_ms` its start time by
    its own wall clock; empty and 0 if it announced none.
    """

    upstream_id: OptionalName = ''
    started_ms: Number = 0


class UpstreamNotice(NamedTuple):
    """What the responses of an upstream say of it.

    `rate_limit` is the number of requests a second that it accepts from all
    proxies together, None if it names none. An upstream that is leaving must
    get no further request.
    """

    identity: UpstreamIdentity
    rate_limit: Annotated[float, Meta(ge=0, le=MAX_RATE_LIMIT)] | None = None
    is_leaving: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the upstream says nothing of itself."""
        return self.rate_limit is None and not self.is_leaving


def is_valid_rate_limit(rate_limit: float) -> bool:
    """Returns whether an upstream may name this limit."""
    return isfinite(rate_limit) and 0 <= rate_limit <= MAX_RATE_LIMIT
