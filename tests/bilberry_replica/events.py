"""The events that a schedule draws from, with their weights."""

from collections.abc import Callable
from errno import EIO
from unittest.mock import patch

from bilberry_core.acceptance import Change
from bilberry_core.error import JournalError
from bilberry_core.journal import Journal
from bilberry_replica.leading import (
    PendingChange,
    make_beacon,
    propose_change,
    propose_membership,
    start_read,
)
from bilberry_replica.member import remove_member
from bilberry_replica.packing import pack_change

from tests.bilberry_core.power_loss import pick_loss
from tests.bilberry_replica.checker import JOURNAL_NAME, Operation, require
from tests.bilberry_replica.schedule import (
    Host,
    Schedule,
    free_disk,
    keeps_quorum,
)

QUORUM_AGE_S = 0.6
PIECE_BYTES = 200
CONTENTS = (b'1', b'2', b'3')

Event = Callable[[Schedule], None]


def run_schedule(
    seed: int,
    domains: str,
    steps: int,
    profile: str = 'mixed',
) -> Schedule:
    """Runs one schedule and checks it."""
    schedule = Schedule(seed, domains)
    events = tuple(PROFILES[profile])
    weights = tuple(PROFILES[profile].values())
    with patch('bilberry_replica.transfer.PIECE_BYTES', PIECE_BYTES):
        for event in schedule.random.choices(events, weights, k=steps):
            event(schedule)
        schedule.settle()
    return schedule


def deliver(schedule: Schedule) -> None:
    """Delivers some messages, in any order."""
    for _ in range(schedule.random.randrange(1, 6)):
        if schedule.in_flight:
            position = schedule.random.randrange(len(schedule.in_flight))
            schedule.deliver(position)


def duplicate(schedule: Schedule) -> None:
    """Delivers a message and keeps it for another delivery."""
    if schedule.in_flight:
        position = schedule.random.randrange(len(schedule.in_flight))
        schedule.deliver(position, keeps=True)


def lose(schedule: Schedule) -> None:
    """Drops a message."""
    if schedule.in_flight:
        schedule.in_flight.pop(
            schedule.random.randrange(len(schedule.in_flight))
        )


def tick(schedule: Schedule) -> None:
    """Advances the time."""
    schedule.tick(schedule.random.choice((0.01, 0.05, 0.15, 0.5)))


def flush(schedule: Schedule) -> None:
    """Syncs the journal of a replica."""
    host = _pick_running(schedule)
    if host and (host.flush or host.replica.needs_flush):
        schedule.flush(host)


def run_faultless_rounds(schedule: Schedule) -> None:
    """Runs some rounds without new faults."""
    for _ in range(schedule.random.randrange(1, 20)):
        schedule.run_faultless_round()


def submit(schedule: Schedule) -> None:
    """Submits a new change, mostly based on the newest version."""
    random = schedule.random
    base = schedule.checker.naive.version + random.choice((0, 0, 0, 0, -1, 1))
    change = Change(
        str(len(schedule.changes)),
        max(base, 0),
        'ann',
        'because',
        random.choice(CONTENTS),
    )
    schedule.changes.append(change)
    _offer(schedule, change)


def resend(schedule: Schedule) -> None:
    """Submits an earlier change again, sometimes with other content."""
    if schedule.changes:
        change = schedule.random.choice(schedule.changes[-8:])
        if schedule.random.randrange(10) == 0:
            change = change._replace(content=b'other')
        _offer(schedule, change)


def read(schedule: Schedule) -> None:
    """Reads from a replica that believes it leads."""
    host = _pick_leader(schedule)
    if host:
        _read(schedule, host)


def beacon(schedule: Schedule) -> None:
    """Makes a beacon on a replica that believes it leads."""
    host = _pick_leader(schedule)
    if host:
        _make_beacon(schedule, host)


def cut(schedule: Schedule) -> None:
    """Cuts some links, in one direction or both, or restores all."""
    random = schedule.random
    names = list(schedule.hosts)
    schedule.cut.clear()
    kind = random.randrange(4) if len(names) > 1 else 3
    if kind == 0:
        alone = random.choice(names)
        schedule.cut.update((alone, name) for name in names)
        schedule.cut.update((name, alone) for name in names)
    elif kind == 1:
        schedule.cut.add(tuple(random.sample(names, 2)))
    elif kind == 2:
        side = set(random.sample(names, len(names) // 2))
        schedule.cut.update(
            (one, other)
            for one in names
            for other in names
            if (one in side) != (other in side)
        )


def crash(schedule: Schedule) -> None:
    """Crashes a replica; part of its unsynced data may survive."""
    host = _pick_running(schedule)
    if host:
        schedule.crash(host, pick_loss(schedule.random))


def crash_all(schedule: Schedule) -> None:
    """Sometimes crashes every replica at once."""
    if schedule.random.randrange(3) == 0:
        for host in schedule.list_running():
            schedule.crash(host, pick_loss(schedule.random))


def freeze(schedule: Schedule) -> None:
    """Freezes a replica, preferably a leader; it does not notice."""
    host = _pick_leader(schedule) or _pick_running(schedule)
    if host:
        host.frozen = True


def unfreeze(schedule: Schedule) -> None:
    """Resumes all frozen replicas; leaders first make a beacon and read."""
    frozen = [host for host in schedule.hosts.values() if host.frozen]
    for host in frozen:
        host.frozen = False
        if host.replica.node.is_leader:
            _make_beacon(schedule, host)
            _read(schedule, host)


def start(schedule: Schedule) -> None:
    """Starts a replica that is down."""
    down = [host for host in schedule.hosts.values() if not host.replica]
    if down:
        schedule.start(schedule.random.choice(down))


def lose_disk(schedule: Schedule) -> None:
    """Crashes a replica and loses its disk if the others form a quorum."""
    host = schedule.random.choice(list(schedule.hosts.values()))
    if schedule.can_lose_disk(host):
        schedule.crash(host)
        schedule.wipe(host)


def damage_disk(schedule: Schedule) -> None:
    """Flips a bit of a whole record; the replica must refuse to start."""
    host = schedule.random.choice(list(schedule.hosts.values()))
    if not schedule.can_lose_disk(host):
        return
    schedule.crash(host)
    whole, _records = Journal.open(host.disk, JOURNAL_NAME)
    if whole.size > len(host.disk.files.get(JOURNAL_NAME, b'')):
        return
    bits = whole.size * 8
    host.disk.flip_bit(JOURNAL_NAME, schedule.random.randrange(bits))
    refused = False
    try:
        Journal.open(host.disk, JOURNAL_NAME)
    except JournalError:
        refused = True
    require(refused, 'a damaged journal was opened')
    schedule.wipe(host)


def fail_sync(schedule: Schedule) -> None:
    """Makes every sync of a replica fail, after the bytes were written."""
    host = _pick_running(schedule)
    if host:
        host.disk.before_sync = _raise_io_error


def fill_disk(schedule: Schedule) -> None:
    """Leaves a replica's disk room for a part of the next writes."""
    host = _pick_leader(schedule) or _pick_running(schedule)
    if host:
        host.disk.room = schedule.random.choice((0, 1, 14, 40, 200))


def hang_sync(schedule: Schedule) -> None:
    """Makes the next syncs of a replica take up to some seconds."""
    host = _pick_leader(schedule) or _pick_running(schedule)
    if host:
        host.hung_until = schedule.now + schedule.random.uniform(0, 5)


def free_disks(schedule: Schedule) -> None:
    """Lets all disks take writes again."""
    for host in schedule.hosts.values():
        free_disk(host)


def remove(schedule: Schedule) -> None:
    """Removes a replica if the remaining disks form a quorum.

    Operators ensure that: the leader can't know of a disk that was just lost.
    """
    host = _pick_leader(schedule)
    others = [name for name in schedule.hosts if host and name != host.name]
    if len(others) > 2 and schedule.random.randrange(3) == 0:
        name = schedule.random.choice(others)
        membership = remove_member(host.replica.node.membership, name)
        if membership and keeps_quorum(membership, schedule.hosts, name):
            schedule.do(host, propose_membership, membership)


#: A mix of all events.
MIXED: dict[Event, float] = {
    deliver: 44,
    duplicate: 4,
    lose: 4,
    tick: 18,
    flush: 24,
    run_faultless_rounds: 4,
    submit: 12,
    resend: 4,
    read: 4,
    beacon: 3,
    cut: 1.5,
    crash: 0.8,
    crash_all: 0.2,
    freeze: 0.5,
    unfreeze: 1.5,
    start: 2.5,
    lose_disk: 0.7,
    damage_disk: 0.3,
    fail_sync: 0.4,
    fill_disk: 0.4,
    hang_sync: 0.4,
    free_disks: 1.5,
    remove: 0.4,
}
#: Many short terms, whose leaders replicate few entries.
ELECTIONS: dict[Event, float] = {
    **MIXED,
    tick: 24,
    run_faultless_rounds: 6,
    lose: 8,
    cut: 4,
    crash: 2,
    freeze: 1.5,
    unfreeze: 4,
    start: 8,
    lose_disk: 0,
    damage_disk: 0,
    remove: 0,
}
#: Many membership changes.
MEMBERSHIP: dict[Event, float] = {
    **MIXED,
    cut: 3,
    lose_disk: 4,
    remove: 4,
    start: 6,
}
#: Disks that refuse writes or hang, and crashes right after.
DISKS: dict[Event, float] = {
    **MIXED,
    tick: 24,
    run_faultless_rounds: 8,
    crash: 2,
    start: 6,
    fail_sync: 2,
    fill_disk: 3,
    hang_sync: 2,
    free_disks: 4,
    lose_disk: 0.3,
    remove: 0,
}
PROFILES = {
    'mixed': MIXED,
    'disks': DISKS,
    'elections': ELECTIONS,
    'membership': MEMBERSHIP,
}


def _offer(schedule: Schedule, change: Change) -> None:
    host = _pick_leader(schedule) or _pick_running(schedule)
    if host is None:
        return
    operation = Operation(schedule.checker.acknowledged, change)
    newest = host.replica.machine.register.newest
    logged = pack_change(change, newest, int(schedule.now * 1000))
    offered = schedule.do(host, propose_change, logged, _accept_any)
    if isinstance(offered, PendingChange):
        if host.replica:
            host.offers[offered.index] = operation._replace(pending=offered)
    elif offered is not None:
        schedule.answer(host, operation, offered)


def _read(schedule: Schedule, host: Host) -> None:
    operation = Operation(schedule.checker.acknowledged)
    round_ = schedule.do(host, start_read)
    if host.replica:
        host.reads.append(operation._replace(round=round_))
        schedule.finish_operations(host)


def _make_beacon(schedule: Schedule, host: Host) -> None:
    before = host.replica.node.beacon
    schedule.do(host, make_beacon, QUORUM_AGE_S)
    made = host.replica.node.beacon if host.replica else before
    if made is not before:
        schedule.checker.check_made_beacon(made)


def _accept_any(_content: bytes) -> list[str]:
    return []


def _raise_io_error(_name: str) -> None:
    raise OSError(EIO, 'input/output error')


def _pick_running(schedule: Schedule) -> Host | None:
    running = schedule.list_running()
    return schedule.random.choice(running) if running else None


def _pick_leader(schedule: Schedule) -> Host | None:
    """Returns a replica that believes it leads; there may be several."""
    leaders = [
        host for host in schedule.list_running() if host.replica.node.is_leader
    ]
    return schedule.random.choice(leaders) if leaders else None
