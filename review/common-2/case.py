"""Runs a case: its record, its exit status and the end of its processes."""

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Whether the disruption takes place.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: Longest run of a case, in seconds.
LIMIT_S = 115.0


class Record:
    """What was sent, answered and run, in seconds since the start."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w')

    def __call__(self, text):
        at = time.monotonic() - self._started_at
        self._file.write(f'{at:8.3f} {text}\n')

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


def run_case(file, play):
    """Runs `play(record)`, which returns whether the rule held, and exits."""
    record = Record(Path(file).resolve().parent)
    # Ends the processes that were started, too.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))
    status = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
        status = HELD if held else BROKEN
    except Exception:  # noqa: BLE001 - whatever stops a case, it did not run
        record(traceback.format_exc())
        traceback.print_exc()
    record.say({HELD: 'the rule held', BROKEN: 'THE RULE WAS BROKEN',
                NOT_RUN: 'the case could not run'}[status])
    record.close()
    sys.exit(status)
