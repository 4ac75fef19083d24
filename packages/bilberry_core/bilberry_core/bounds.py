"""Types of numbers and texts that other processes send, with their bounds.

A value within them fits every encoding that it is sent in, and leaves room for
sums and differences.
"""

from typing import Annotated

from msgspec import Meta

#: Largest number: JSON holds no larger one exactly.
MAX_NUMBER = (1 << 53) - 1
#: Largest number that identifies something.
MAX_IDENTIFIER = (1 << 63) - 1
#: Most slots or connections of one upstream.
MAX_COUNT = 65536
#: Largest weight of a service in a split.
MAX_WEIGHT = 1_000_000
#: Highest TCP port.
MAX_PORT = 65535
#: Longest name, in characters.
MAX_NAME_LENGTH = 253
_LINE = r'\A[^\x00-\x1f\x7f-\x9f]*\Z'
_VISIBLE_ASCII = r'\A[!-~]*\Z'

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
SignedNumber = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
#: A number that is compared with others and never reckoned with.
Identifier = Annotated[int, Meta(ge=0, le=MAX_IDENTIFIER)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Weight = Annotated[int, Meta(ge=0, le=MAX_WEIGHT)]
#: A time or a duration; neither infinite nor NaN.
Seconds = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
#: A time of some daemon's clock, in seconds.
ClockTime = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
#: The name of an instance, a service or similar, between daemons.
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
#: A name that may be empty.
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
#: A text of one line that an upstream chooses; may be empty.
Line = Annotated[str, Meta(max_length=MAX_NAME_LENGTH, pattern=_LINE)]
#: A text that can be the value of an HTTP header; may be empty.
HeaderText = Annotated[
    str, Meta(max_length=MAX_NAME_LENGTH, pattern=_VISIBLE_ASCII)
]
