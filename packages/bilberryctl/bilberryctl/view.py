"""Read-only commands: show, diff, history, status and explain."""

from difflib import unified_diff
from typing import NamedTuple
from urllib.parse import urlencode

from bilberry_core.configuration import Configuration
from bilberry_core.configuration_document import build_document
from bilberry_core.configuration_file import (
    parse_configuration,
    render_configuration,
)
from returns.result import Failure

from bilberryctl.answers import (
    ExplainAnswer,
    HistoryAnswer,
    StatusAnswer,
    VersionAnswer,
    read_etag,
)
from bilberryctl.local_file import read_configuration
from bilberryctl.outcome import Outcome, succeed
from bilberryctl.session import Session, fail_unreadable
from bilberryctl.text import (
    render_entry,
    render_explanation,
    render_history,
    render_status,
)


class CurrentConfiguration(NamedTuple):
    """The newest accepted configuration, as returned by a server."""

    version: int
    text: str
    configuration: Configuration


async def show_configuration(session: Session) -> Outcome:
    """Shows the newest accepted configuration."""
    current = await _read_current(session)
    if isinstance(current, Outcome):
        return current
    document = {
        'version': current.version,
        'configuration': build_document(current.configuration),
    }
    text = f'# version {current.version}\n{current.text}'
    return succeed(document, text)


async def diff_file(session: Session, path: str) -> Outcome:
    """Shows how a file differs from the newest accepted configuration."""
    local = read_configuration(path)
    if isinstance(local, Outcome):
        return local
    current = await _read_current(session)
    if isinstance(current, Outcome):
        return current
    version = current.version
    lines = list(
        unified_diff(
            render_configuration(current.configuration).splitlines(),
            render_configuration(local.configuration).splitlines(),
            f'version {version}',
            path,
            lineterm='',
        ),
    )
    document = {'version': version, 'differs': bool(lines), 'diff': lines}
    return succeed(document, '\n'.join(lines) or f'same as version {version}')


async def list_history(session: Session, limit: int) -> Outcome:
    """Shows the newest accepted versions."""
    target = f'/v1/history?limit={limit}'
    return await session.read(target, HistoryAnswer, render_history)


async def show_version(session: Session, version: int) -> Outcome:
    """Shows one accepted version."""
    target = f'/v1/history/{version}'
    return await session.read(target, VersionAnswer, render_entry)


async def show_status(session: Session) -> Outcome:
    """Shows the fleet as seen by the first server that responds."""
    return await session.read('/v1/status', StatusAnswer, render_status)


async def explain_service(
    session: Session,
    service: str,
    method: str,
    path: str,
) -> Outcome:
    """Explains the route that a request would take."""
    query = urlencode({'service': service, 'method': method, 'path': path})
    target = f'/v1/explain?{query}'
    return await session.read(target, ExplainAnswer, render_explanation)


async def _read_current(session: Session) -> CurrentConfiguration | Outcome:
    answer = await session.get('/v1/configuration', 'application/yaml')
    if isinstance(answer, Outcome):
        return answer
    version = read_etag(answer)
    if isinstance(version, Failure):
        return fail_unreadable(version.failure())
    text = answer.body.decode(errors='replace')
    parsed = parse_configuration(text, 'server')
    if isinstance(parsed, Failure):
        details = [problem.describe() for problem in parsed.failure()]
        return fail_unreadable('; '.join(details))
    return CurrentConfiguration(version.unwrap(), text, parsed.unwrap())
