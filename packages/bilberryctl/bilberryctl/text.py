"""Renders responses of the operators' interface as text."""

from bilberry_core.document import render_document

from bilberryctl.outcome import Document


def render_history(document: Document) -> str:
    """Returns one line for each version."""
    lines = [_render_summary(entry) for entry in document.get('versions', [])]
    return '\n'.join(lines) or 'no version has been accepted yet'


def render_entry(document: Document) -> str:
    """Returns a version with its configuration, as YAML."""
    configuration = document.get('configuration', {})
    shown = render_document(configuration)
    return f'# {_render_summary(document)}\n{shown}'


def render_status(document: Document) -> str:
    """Returns the state of the fleet as text."""
    lines = [
        f'instance   {document["instance"]} ({document["phase"]})',
        f'accepted   version {document["accepted_version"]}',
        f'running    version {document["running_version"]}'
        f'{_render_staleness(document["stale_s"])}',
        f'replica    {_render_replica(document["replica"])}',
        'proxies',
    ]
    lines += [_render_proxy(proxy) for proxy in document['proxies']]
    lines.append('services')
    for service, states in document['services'].items():
        shown = '; '.join(
            f'{state}: {", ".join(names)}' for state, names in states.items()
        )
        lines.append(f'  {service}  {shown}')
    return '\n'.join(lines + _render_quotas(document.get('quotas')))


def render_explanation(document: Document) -> str:
    """Returns the explained route of a request as text."""
    lines = [
        f'{document["method"]} {document["path"]}'
        f' -> service {document["service"]} (version {document["version"]})',
        f'exception  {document["exception"] or "none"}',
        f'reason     {document["reason"]}',
        'policy',
    ]
    lines += [
        f'  {name}: {_render_option(option)}'
        for name, option in document['policy'].items()
    ]
    lines.append('endpoints')
    lines += [_render_endpoint(each) for each in document['endpoints']]
    return '\n'.join(lines)


def _render_summary(entry: Document) -> str:
    shown = f'{entry["version"]}  {entry["accepted"]}  {entry["author"]}'
    return f'{shown}  {entry["change_id"]}  {entry["note"]}'.rstrip()


def _render_staleness(stale_s: float | None) -> str:
    if stale_s is None:
        return ''
    return f', no beacon for {stale_s} s: may be behind'


def _render_replica(replica: Document | None) -> str:
    if replica is None:
        return 'no'
    leader = replica['leader'] or 'none known'
    members = ', '.join(replica['members'])
    line = f'{replica["role"]}, leader {leader}, members {members}'
    return f'{line}{_render_tolerance(replica)}'


def _render_tolerance(replica: Document) -> str:
    """Returns what the leader knows of losses; nothing elsewhere."""
    spare_losses = replica.get('spare_losses')
    if spare_losses is None:
        return ''
    silent = ', '.join(replica['silent']) or 'none'
    voters = replica['voters']
    return (
        f'; voters {voters}, silent {silent}, {spare_losses} more may be lost'
    )


def _render_proxy(proxy: Document) -> str:
    line = f'  {proxy["instance"]}  version {proxy["version"]}'
    if proxy['behind_s'] is None:
        return line
    return f'{line}  behind for {proxy["behind_s"]} s'


def _render_quotas(quotas: Document | None) -> list[str]:
    """Returns the quotas as the leader grants them; no lines elsewhere."""
    if quotas is None:
        return []
    lent = f'{quotas["fraction"]:.0%} lent by {quotas["daemons"]} daemons'
    uses = [
        f'  {name}  granted {use["granted"]}, returned {use["returned"]}, '
        f'refused {use["refused"]}, held {use["held"]}'
        for name, use in sorted(quotas['uses'].items())
    ]
    return [f'quotas     term {quotas["term"]}, {lent}', *uses]


def _render_option(option: object) -> str:
    return ', '.join(option) if isinstance(option, list) else str(option)


def _render_endpoint(endpoint: Document) -> str:
    mark = 'yes' if endpoint['eligible'] else 'no '
    return (
        f'  {mark}  {endpoint["instance"]} at {endpoint["address"]}'
        f' in {endpoint["failure_domain"]}: {endpoint["why"]}'
    )
