"""Measures distribution under faults, one after the other in one fleet.

Each delay starts when a version is accepted, or for `return_all` when a
proxy's controllers start, and ends when the proxy runs the version.
`kill_half` and `cut_off_relay` publish a version right after the fault.
"""

from asyncio import gather, run, sleep
from json import dumps
from signal import SIGCONT, SIGSTOP

from bench.spread import (
    FLEETS,
    OUTPUT,
    RELAYS,
    SERVICES,
    BenchFleet,
    Kind,
    summarize,
)

FAULTS_OUTPUT = OUTPUT.with_name('spread_faults.json')
COMMAND = 'python -m bench.spread_faults'
#: Time for the fleet to recover from a fault, in seconds.
SETTLE_S = 4


async def kill_half(fleet: BenchFleet) -> list[float]:
    """Kills a relay in each domain; returns the delays of a change.

    These are half of all relays. Restarts them afterwards.
    """
    victims = fleet.relays[: RELAYS // 2]
    await gather(*(victim.end() for victim in victims))
    delays = await fleet.change()
    await gather(*(victim.launch() for victim in victims))
    fleet.start_controllers(victims)
    await sleep(SETTLE_S)
    return delays


async def freeze_relay(fleet: BenchFleet) -> list[float]:
    """Stops a relay with SIGSTOP; returns the delays of a change."""
    victim = fleet.relays[-1].process
    victim.send_signal(SIGSTOP)
    try:
        return await fleet.change()
    finally:
        victim.send_signal(SIGCONT)
        await sleep(SETTLE_S)


async def cut_off_relay(fleet: BenchFleet) -> list[float]:
    """Cuts a relay off from the source and relays, not from its proxies.

    Returns the delays of a change.
    """
    victim = fleet.relays[-2]
    victim.send_command('cut_off')
    delays = await fleet.change()
    await victim.end()
    await victim.launch()
    fleet.start_controllers([victim])
    await sleep(SETTLE_S)
    return delays


async def return_all(fleet: BenchFleet) -> list[float]:
    """Restarts all proxies at once, after 100 changes that they missed."""
    await gather(*(proxy.end() for proxy in fleet.proxies))
    for number in range(100):
        fleet.version += 1
        fleet.source.send_command(
            'accept',
            version=fleet.version,
            services=fleet.services,
        )
    await fleet.source.wait('accepted', version=fleet.version)
    await gather(*(proxy.launch() for proxy in fleet.proxies))
    fleet.start_controllers(fleet.proxies)
    delays = []
    for proxy in fleet.proxies:
        started = await proxy.wait('started')
        running = await proxy.wait('running', version=fleet.version)
        delays.append(running['at'] - started['at'])
    return delays


FAULTS = (freeze_relay, cut_off_relay, kill_half, return_all)


async def measure_faults(proxies: int) -> dict:
    """Measures one fleet under each fault in turn."""
    fleet = BenchFleet(proxies, Kind.TREE, SERVICES)
    summaries: dict = {'proxies': proxies, 'relays': RELAYS}
    try:
        await fleet.start()
        for fault in FAULTS:
            summaries[fault.__name__] = summarize(await fault(fleet))
            print(fault.__name__, summaries[fault.__name__])
        return summaries
    finally:
        await fleet.end()


async def main() -> None:
    """Measures every fleet size and writes the JSON file."""
    rows = [await measure_faults(proxies) for proxies in FLEETS]
    FAULTS_OUTPUT.write_text(
        dumps({'command': COMMAND, 'fleets': rows}, indent=1) + '\n',
    )


if __name__ == '__main__':
    run(main())
