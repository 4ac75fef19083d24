"""Waits until a version is in force on every proxy, and shows progress."""

from asyncio import get_running_loop, sleep
from typing import NamedTuple

from bilberry_core.http import HttpRequest

from bilberryctl.answers import StatusAnswer, decode_answer
from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Document, Outcome, fail, succeed
from bilberryctl.session import Session

#: Minimum pause between two polls, in seconds.
_MIN_POLL_INTERVAL_S = 0.25
#: Ratio of the pause to the duration of a poll. It limits the load that
#: polls cause in a large fleet.
_PAUSE_FACTOR = 10
#: Maximum number of proxies named in one line.
_MAX_NAMED_PROXIES = 10


class Poll(NamedTuple):
    """The versions that one poll returned, and the pause before the next.

    `behind` lists the proxies that run an older version than the awaited one;
    `pause_s` is in seconds.
    """

    versions: dict[str, int]
    behind: list[str]
    pause_s: float


async def wait_in_force(
    session: Session,
    change: Document,
    limit_s: float,
) -> Outcome:
    """Waits until every known proxy runs the version of `change`.

    Fails with `NOT_IN_FORCE` after `limit_s` seconds.
    """
    version = change['version']
    clock = get_running_loop().time
    deadline = clock() + limit_s
    reported_line = ''
    confirmed: dict[str, int] = {}
    while True:
        poll = await _poll(session, version)
        line = describe_progress(poll.versions, poll.behind, version)
        if line != reported_line:
            session.report(line)
            reported_line = line
        if is_in_force(poll, confirmed):
            text = f'version {version} is in force on {len(poll.versions)}'
            document = {**change, 'proxies': poll.versions}
            return succeed(document, f'{text} proxies')
        confirmed = {} if poll.behind else poll.versions
        if clock() >= deadline:
            return _fail_not_in_force(change, poll.versions, poll.behind)
        await sleep(min(poll.pause_s, deadline - clock()))


def is_in_force(poll: Poll, confirmed: dict[str, int]) -> bool:
    """Returns whether two consecutive polls list the same up-to-date proxies.

    `confirmed` are the versions of the previous poll; empty if a proxy was
    behind.

    One poll does not suffice: just after the start of a fleet, the servers do
    not know all proxies yet.
    """
    if poll.behind or not poll.versions:
        return False
    return poll.versions.keys() == confirmed.keys()


async def _poll(session: Session, version: int) -> Poll:
    clock = get_running_loop().time
    started = clock()
    versions = await read_versions(session)
    took_s = clock() - started
    return Poll(
        versions,
        get_lagging_proxies(versions, version),
        max(_MIN_POLL_INTERVAL_S, took_s * _PAUSE_FACTOR),
    )


async def read_versions(session: Session) -> dict[str, int]:
    """Returns the version that each proxy runs, merged from all servers.

    The version of a proxy never decreases, so the highest report is current.
    """
    answers = await session.client.send_to_all(HttpRequest('GET', '/v1/status'))
    versions: dict[str, int] = {}
    for answer in answers:
        status = decode_answer(answer, StatusAnswer)
        for proxy in status.value_or({'proxies': []})['proxies']:
            known = versions.get(proxy['instance'], 0)
            versions[proxy['instance']] = max(known, proxy['version'])
    return dict(sorted(versions.items()))


def get_lagging_proxies(versions: dict[str, int], version: int) -> list[str]:
    """Returns the proxies that run an older version."""
    return [name for name, held in versions.items() if held < version]


def describe_progress(
    versions: dict[str, int],
    behind: list[str],
    version: int,
) -> str:
    """Returns the progress as one line."""
    up_to_date_count = len(versions) - len(behind)
    line = f'version {version}: {up_to_date_count} of {len(versions)} proxies'
    return f'{line}, behind: {_shorten(behind)}' if behind else line


def _shorten(names: list[str]) -> str:
    shown = ', '.join(names[:_MAX_NAMED_PROXIES])
    further = len(names) - _MAX_NAMED_PROXIES
    return f'{shown} and {further} more' if further > 0 else shown


def _fail_not_in_force(
    change: Document,
    versions: dict[str, int],
    behind: list[str],
) -> Outcome:
    names = _shorten(behind) or 'no proxy reported its version'
    return fail(
        ExitCode.NOT_IN_FORCE,
        'not_in_force',
        f'version {change["version"]} is accepted, but behind: {names}',
        **change,
        proxies=versions,
    )
