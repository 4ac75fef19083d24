"""The durations that the leader and the proxies must agree on.

All are measured with clocks that go on while a machine is suspended.
"""

#: Interval between two offers of the leader, in seconds.
OFFER_S = 0.2
#: Time for which a report lends a share, in seconds. The daemon counts it from
#: when it received the offer that the report replies to, the leader from when
#: it made that offer, so the leader's ends first.
LEND_S = 0.6
#: Time for which a granted token may be spent, in seconds. The daemon counts
#: it from its report, the leader from its grant, so the daemon's ends first.
TOKEN_S = 0.4
#: Time for which a token may be given back, in seconds.
RETURN_S = 1.0
#: Time after its last answered report for which a daemon holds its share while
#: it is out of touch, in seconds.
HOLD_S = 7200.0
