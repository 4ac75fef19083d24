"""Measures the store of a claim holder, and prints the figures as JSON.

Runs as a process of its own. Arguments: `fill` or `restart`, data folder,
number of claims, bytes of the body of a stored response.
"""

from json import dumps
from pathlib import Path
from sys import argv
from time import perf_counter, time

from bilberry_claims.holder import JOURNAL_NAME
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.limit import ClaimLimits
from bilberry_claims.membership import Membership
from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.claim import ClaimKey, StoredAnswer
from bilberry_core.disk import SystemDisk
from bilberry_core.journal import Journal
from bilberry_core.messages.claim import (
    ClaimSettle,
    ClaimVote,
    HolderPhase,
)

RETENTION_S = 86_400
HEADERS = ((b'content-type', b'application/json'),)
EPOCH = ClaimEpoch(1, (Holder('h', '127.0.0.1', 1, 'a'),))
EPOCH_NUMBER = 3
BATCH = 1000


def read_memory_bytes() -> int:
    """Returns the resident memory of this process, in bytes."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * 4096


def build_requests(number: int, answer: StoredAnswer) -> tuple:
    """Returns the messages that claim and settle one key."""
    key = ClaimKey('booking', f'{number:036}')
    token = number.to_bytes(24, 'big')
    fingerprint = b'f' * 16
    return (
        ClaimVote(1, EPOCH_NUMBER, key, token, fingerprint, RETENTION_S),
        ClaimSettle(
            1, EPOCH_NUMBER, key, token, fingerprint, RETENTION_S, answer
        ),
    )


def fill(folder: str, count: int, answer_bytes: int) -> dict:
    """Stores settled claims as a holder does; returns sizes and times."""
    journal, _ = Journal.open(SystemDisk.open(folder, 'bench'), JOURNAL_NAME)
    core = HolderCore('h', ClaimLimits())
    core.membership = Membership(EPOCH_NUMBER, HolderPhase.FULL, 1, 1)
    core.adopt(EPOCH)
    answer = StoredAnswer(201, HEADERS, b'x' * answer_bytes)
    before = read_memory_bytes()
    now_ms = int(time() * 1000)
    for number in range(count):
        for request in build_requests(number, answer):
            for record in core.handle(request, now_ms).records:
                journal.append(record)
        if number % BATCH == 0:
            journal.sync_now()
    journal.sync_now()
    memory = read_memory_bytes() - before
    written_bytes = journal.size
    started = perf_counter()
    records = list(core.dump())
    journal.replace(records)
    blocked_s = perf_counter() - started
    journal.sync_now()
    return {
        'claims': len(core.table),
        'memory_bytes_per_claim': round(memory / count),
        'encoded_bytes_per_claim': round(core.table.encoded_bytes / count),
        'journal_bytes_per_claim': round(written_bytes / count),
        'compacted_bytes_per_claim': round(journal.size / count),
        'compaction_blocks_s': round(blocked_s, 3),
        'compaction_s': round(perf_counter() - started, 3),
    }


def restart(folder: str, count: int, _answer_bytes: int) -> dict:
    """Reads the claims from the journal; returns how long it takes."""
    started = perf_counter()
    _, records = Journal.open(SystemDisk.open(folder, 'bench'), JOURNAL_NAME)
    core = HolderCore('h', ClaimLimits())
    core.load(records, int(time() * 1000))
    return {
        'claims': len(core.table),
        'restart_s': round(perf_counter() - started, 3),
    }


if __name__ == '__main__':
    action = {'fill': fill, 'restart': restart}[argv[1]]
    print(dumps(action(argv[2], int(argv[3]), int(argv[4]))))
