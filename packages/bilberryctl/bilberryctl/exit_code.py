"""The exit codes of `bilberryctl`, which scripts rely on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit code of a command."""

    #: The command succeeded.
    OK = 0
    #: Refused, or the file is invalid; nothing was changed.
    REFUSED = 1
    #: The command line is invalid; nothing was executed.
    USAGE = 2
    #: Another change was accepted first; nothing was changed.
    CONFLICT = 3
    #: The change may still be accepted: resend it with the same change ID.
    UNKNOWN = 4
    #: No server could be reached, or no response was usable; nothing was
    #: changed.
    UNREACHABLE = 5
    #: Accepted, but not in force on every proxy before the wait timed out.
    NOT_IN_FORCE = 6
