"""Waits until a version is in force on every proxy, showing progress."""

from asyncio import get_running_loop, sleep

from bilberry_core.http import HttpRequest
from bilberryctl.answers import StatusAnswer, decode_answer
from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Document, Outcome, fail, succeed
from bilberryctl.session import Session

_POLL_S = 0.25


async def wait_in_force(
    session: Session,
    change: Document,
    limit_s: float,
) -> Outcome:
    """Waits until every proxy known runs the version of `change`."""
    version = change['version']
    end = get_running_loop().time() + limit_s
    shown = ''
    while True:
        versions = await read_versions(session)
        behind = find_behind(versions, version)
        line = describe_progress(versions, behind, version)
        if line != shown:
            session.report(line)
            shown = line
        if versions and not behind:
            text = f'version {version} is in force on {len(versions)} proxies'
            return succeed({**change, 'proxies': versions}, text)
        if get_running_loop().time() >= end:
            return _tell_late(change, versions, behind)
        await sleep(_POLL_S)


async def read_versions(session: Session) -> dict[str, int]:
    """Returns the version held by each proxy, from all servers together.

    A proxy only moves forward, so the newest report of it counts.
    """
    answers = await session.client.ask_all(HttpRequest('GET', '/v1/status'))
    versions: dict[str, int] = {}
    for answer in answers:
        status = decode_answer(answer, StatusAnswer)
        for proxy in status.value_or({'proxies': []})['proxies']:
            known = versions.get(proxy['instance'], 0)
            versions[proxy['instance']] = max(known, proxy['version'])
    return dict(sorted(versions.items()))


def find_behind(versions: dict[str, int], version: int) -> list[str]:
    """Returns the proxies that run an older version."""
    return [name for name, held in versions.items() if held < version]


def describe_progress(
    versions: dict[str, int],
    behind: list[str],
    version: int,
) -> str:
    """Returns the progress as one line."""
    done = len(versions) - len(behind)
    line = f'version {version}: {done} of {len(versions)} proxies'
    return f'{line}, behind: {", ".join(behind)}' if behind else line


def _tell_late(
    change: Document,
    versions: dict[str, int],
    behind: list[str],
) -> Outcome:
    names = ', '.join(behind) or 'no proxy reported its version'
    return fail(
        ExitCode.NOT_IN_FORCE,
        'not_in_force',
        f'version {change["version"]} is accepted, but behind: {names}',
        **change,
        proxies=versions,
    )
