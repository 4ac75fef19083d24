"""Commands that order, show and cancel roll-outs."""

from urllib.parse import quote

from bilberry_core.clock import MS_PER_S
from bilberry_core.http import HttpRequest
from msgspec.json import encode

from bilberryctl.answers import RolloutAnswer
from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Document, Outcome, fail, succeed
from bilberryctl.session import Session, check_reply

_TARGET = '/v1/rollouts'
_PERCENT = 100


async def start_rollout(
    session: Session, service: str, version: str, duration_s: float
) -> Outcome:
    """Orders that a service moves to another version."""
    order = {
        'service': service,
        'version': version,
        'duration_ms': int(duration_s * MS_PER_S),
    }
    request = HttpRequest('POST', _TARGET, body=encode(order))
    return await _send(session, request, f'{service} moves to {version}')


async def cancel_rollout(session: Session, service: str) -> Outcome:
    """Rolls the open roll-out of a service back."""
    request = HttpRequest('DELETE', _build_target(service))
    return await _send(session, request, f'{service} goes back')


async def show_rollout(session: Session, service: str) -> Outcome:
    """Shows the newest roll-out of a service."""
    return await session.read(
        _build_target(service), RolloutAnswer, render_rollout
    )


def render_rollout(rollout: Document) -> str:
    """Returns the text that shows a roll-out."""
    lines = [
        f'{rollout["service"]} to {rollout["version"]}: {rollout["state"]}',
        f'  share      {rollout["share"] * _PERCENT:.1f}%'
        f' at {rollout["upstreams"] or "all"} new upstreams',
        f'  because    {rollout["reason"]}',
    ]
    for seen in rollout['routes']:
        lines.append(
            f'  {seen["route"] or "(no route)"}: new {seen["bad"]} bad of'
            f' {seen["answers"]}, old {seen["old_bad"]} of'
            f' {seen["old_answers"]} lately',
        )
    return '\n'.join(lines)


def _build_target(service: str) -> str:
    return f'{_TARGET}/{quote(service, safe="")}'


async def _send(session: Session, request: HttpRequest, text: str) -> Outcome:
    reply = await session.client.send(request)
    if reply.is_undecided:
        detail = f'run the same command again ({reply.detail})'
        return fail(ExitCode.UNKNOWN, 'outcome_unknown', detail)
    answer = check_reply(reply)
    if isinstance(answer, Outcome):
        return answer
    return succeed({'accepted': True}, text)
