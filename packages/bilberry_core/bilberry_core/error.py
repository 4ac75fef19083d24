"""The errors of bilberryspread, one base type for all of them.

Errors that a caller can act on are values (`returns.result.Result`); these
exceptions are for input that can't be used and for state that is damaged.
"""


class BilberryError(Exception):
    """Base of every error that bilberryspread raises."""


class ConfigurationError(BilberryError):
    """A configuration or its encoding can't be used."""


class FrameError(BilberryError):
    """A stream carried bytes that are no frame or no known message."""


class StreamClosedError(BilberryError):
    """The stream has ended; nothing more can be sent on it."""


class HandshakeError(BilberryError):
    """The other side of a stream did not prove the fleet's secret."""


class JournalError(BilberryError):
    """A data folder is damaged, full, in use or of another fleet."""
