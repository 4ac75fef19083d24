"""Sets up the garbage collector of a daemon."""

from gc import freeze, get_threshold, set_threshold

#: New objects after which the youngest ones are searched for garbage. A proxy
#: that serves hundreds of requests a second allocates more than the default of
#: 700 all the time, and few of them are garbage.
_YOUNG_OBJECTS = 5000


def prepare_collector() -> None:
    """Excludes what was built at the start, and collects less often.

    Objects of the start live as long as the process.
    """
    _young, *older = get_threshold()
    set_threshold(_YOUNG_OBJECTS, *older)
    freeze()
