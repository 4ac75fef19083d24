"""Commands that only read: show, diff, history, status, explain."""

from difflib import unified_diff
from urllib.parse import urlencode

from returns.result import Failure

from bilberry_core.configuration_document import build_document
from bilberry_core.configuration_file import (
    parse_configuration,
    render_configuration,
)
from bilberryctl.exit_code import ExitCode
from bilberryctl.local_file import read_configuration
from bilberryctl.outcome import Outcome, fail, read_document, succeed
from bilberryctl.session import Session
from bilberryctl.text import (
    render_entry,
    render_explanation,
    render_history,
    render_status,
)

_YAML = 'application/yaml'


async def show_configuration(session: Session) -> Outcome:
    """Shows the newest accepted configuration."""
    answer = await session.read('/v1/configuration', _YAML)
    if isinstance(answer, Outcome):
        return answer
    text = answer.body.decode()
    parsed = parse_configuration(text, 'server')
    if isinstance(parsed, Failure):
        details = '; '.join(each.describe() for each in parsed.failure())
        return fail(ExitCode.REFUSED, 'unreadable_answer', details)
    version = answer.get_header(b'etag').strip('"')
    document = {
        'version': int(version),
        'configuration': build_document(parsed.unwrap()),
    }
    return succeed(document, f'# version {version}\n{text}')


async def diff_file(session: Session, path: str) -> Outcome:
    """Shows how a file differs from the newest accepted configuration."""
    local = read_configuration(path)
    if isinstance(local, Outcome):
        return local
    answer = await session.read('/v1/configuration', _YAML)
    if isinstance(answer, Outcome):
        return answer
    version = answer.get_header(b'etag').strip('"')
    lines = list(
        unified_diff(
            answer.body.decode().splitlines(),
            render_configuration(local.configuration).splitlines(),
            f'version {version}',
            path,
            lineterm='',
        ),
    )
    document = {'version': int(version), 'differs': bool(lines), 'diff': lines}
    return succeed(document, '\n'.join(lines) or f'same as version {version}')


async def list_history(session: Session, limit: int) -> Outcome:
    """Shows the newest accepted versions."""
    answer = await session.read(f'/v1/history?limit={limit}')
    if isinstance(answer, Outcome):
        return answer
    document = read_document(answer)
    return succeed(document, render_history(document))


async def show_version(session: Session, version: int) -> Outcome:
    """Shows one accepted version."""
    answer = await session.read(f'/v1/history/{version}')
    if isinstance(answer, Outcome):
        return answer
    document = read_document(answer)
    return succeed(document, render_entry(document))


async def show_status(session: Session) -> Outcome:
    """Shows the fleet as the first server that answers sees it."""
    answer = await session.read('/v1/status')
    if isinstance(answer, Outcome):
        return answer
    document = read_document(answer)
    return succeed(document, render_status(document))


async def explain_service(
    session: Session,
    service: str,
    method: str,
    path: str,
) -> Outcome:
    """Shows what route a request would take, and why."""
    query = urlencode({'service': service, 'method': method, 'path': path})
    answer = await session.read(f'/v1/explain?{query}')
    if isinstance(answer, Outcome):
        return answer
    document = read_document(answer)
    return succeed(document, render_explanation(document))
