"""The exceptions of bilberryspread, which share one base class.

Errors that a caller can act on are values (`returns.result.Result`); these
exceptions report invalid input, failed streams and damaged state.
"""


class BilberryError(Exception):
    """The base class of every error that bilberryspread raises."""


class ConfigurationError(BilberryError):
    """A configuration or its encoding is invalid."""


class FrameError(BilberryError):
    """A frame or message on a stream is invalid."""


class StreamClosedError(BilberryError):
    """The stream is closed; nothing more can be sent on it."""


class HandshakeError(BilberryError):
    """The handshake of a stream failed, so its peer is not authenticated."""


class JournalError(BilberryError):
    """A data folder is damaged, full, in use or belongs to another fleet."""
