"""The exit codes of `bilberryctl`, stable for scripts."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command came to."""

    #: Done.
    OK = 0
    #: Refused, or the file is invalid; nothing was changed.
    REFUSED = 1
    #: The command line can't be understood; nothing was done.
    USAGE = 2
    #: Another change came first; nothing was changed.
    CONFLICT = 3
    #: The change may be accepted yet: resend it with the same change ID.
    UNKNOWN = 4
    #: No server could be reached; nothing was changed.
    UNREACHABLE = 5
    #: Accepted, but not in force everywhere within the time to wait.
    NOT_IN_FORCE = 6
