"""Simulates holders, proxies and a network in one thread.

Holders and proxies are the real state machines. Faults are drawn from a seed:
the disk keeps only what was synced, and the network loses, delays, duplicates
and reorders messages. Every grant, run and response is compared with
`NaiveClaims`, a single copy in memory.
"""

from itertools import count
from random import Random
from typing import NamedTuple

from bilberry_claims.broadcast import Broadcast, TokenUpdate
from bilberry_claims.catch_up import CatchUp
from bilberry_claims.holder_core import HolderCore
from bilberry_claims.limit import ClaimLimits
from bilberry_claims.process import ClaimProcess, ProcessDependencies
from bilberry_claims.quorum import count_majority, list_members
from bilberry_core.board import ClaimEpoch, Holder
from bilberry_core.claim import (
    Answered,
    Attempt,
    ClaimKey,
    Granted,
    Mismatch,
    StoredAnswer,
    Unavailable,
)
from bilberry_core.messages.claim import ClaimPage, HolderPhase, HolderStatus

_NOW_MS = 1_000_000
_RETENTION_S = 3600
_KEYS = ('a', 'b')


class Violation(Exception):
    """The holders or proxies broke a guarantee."""


class NaiveClaims:
    """Reference model: one claim table that all holders must match."""

    def __init__(self):
        self.granted = {}
        self.runs = {}
        self.answers = {}
        self.bodies = {}

    def grant(self, key, attempt):
        """Grants a key; fails if it is granted already."""
        if key in self.granted:
            raise Violation(
                f'{key} granted to {self.granted[key]} and {attempt}'
            )
        self.granted[key] = attempt

    def release(self, key, attempt):
        """Frees a key; fails if another attempt was granted it."""
        if self.granted.pop(key) != attempt:
            raise Violation(f'{key} released by {attempt}')

    def run(self, key, attempt):
        """Runs the request; fails if the key's request ran already."""
        if key in self.runs:
            raise Violation(f'{key} run by {self.runs[key]} and {attempt}')
        self.runs[key] = attempt

    def check(self, key, body, outcome):
        """Checks an outcome other than a grant."""
        if isinstance(outcome, Answered):
            if (body, outcome.answer) != self.answers.get(key):
                raise Violation(f'{key} answered wrongly: {outcome.answer}')
        if isinstance(outcome, Mismatch) and self.bodies[key] == {body}:
            raise Violation(
                f'{key} refused as a mismatch, but its only body is {body}'
            )


class Node:
    """A holder with its state machine, its disk and its queued messages."""

    def __init__(self, name, domain):
        self.holder = Holder(name, '', 0, domain)
        self.durable = []
        self.core = None
        self.wiped = False
        self.start()

    def start(self):
        """Starts the holder from the synced records."""
        self.core = HolderCore(self.holder.instance, ClaimLimits())
        self.core.load(self.durable, _NOW_MS)
        self.catch_up = None
        self.unsynced = []
        self.queued = []

    def crash(self, kept):
        """Stops; keeps only the first `kept` of the unsynced records."""
        self.durable.extend(self.unsynced[:kept])
        self.core = None
        self.unsynced = []
        self.queued = []

    def wipe(self):
        """Stops and loses the whole data folder."""
        self.crash(0)
        self.durable = []
        self.wiped = True

    def sync(self):
        """Makes all records durable and returns the queued messages."""
        self.durable.extend(self.unsynced)
        self.unsynced = []
        sends = self.queued
        self.queued = []
        if self.core.is_caught_up:
            self.wiped = False
        return sends

    def is_caught_up(self):
        """Returns whether it has durably copied the claims of its epoch."""
        return bool(self.core and self.core.is_caught_up and not self.unsynced)


class Proxy:
    """A proxy with one attempt, which it claims and settles or releases."""

    def __init__(self, name, attempt, dependencies):
        self.name = name
        self.attempt = attempt
        self.key = attempt.claim.key
        self.dependencies = dependencies
        self.process = ClaimProcess(attempt, dependencies)
        self.broadcast = None
        self.epoch = None
        self.is_up = True
        self.is_reported = False

    @property
    def current(self):
        """The state machine that receives messages now."""
        return self.broadcast or self.process

    def start_broadcast(self, update):
        """Starts to send an update to the holders."""
        self.broadcast = Broadcast(update, self.dependencies)
        return self.broadcast.begin(self.epoch)


class InFlightMessage(NamedTuple):
    """A message in the network."""

    source: str
    target: str
    message: object


class World:
    """Simulation of one schedule, drawn from `seed`."""

    def __init__(self, seed, size=3, **weights):
        self.random = Random(seed)
        self.size = size
        self.weights = tuple({**_WEIGHTED, **weights}.values())
        self.naive = NaiveClaims()
        self.numbers = count(1)
        self.requests = count(1)
        self.nodes = {}
        self.proxies = {}
        self.network = []
        self.cut = set()
        self.outcomes = {}
        self.abandoned = set()
        for _ in range(size):
            self.add_node()
        holders = tuple(one.holder for one in self.nodes.values())
        self.epoch = ClaimEpoch(1, holders)
        self.history = [self.epoch]
        self.quiesce()

    def add_node(self):
        """Adds a holder with an empty data folder."""
        number = next(self.numbers)
        node = Node(f'holder-{number}', f'domain-{len(self.nodes) % 3}')
        self.nodes[node.holder.instance] = node
        return node

    def add_proxy(self, key=None):
        """Adds an attempt on a key; one in ten has another body."""
        number = next(self.numbers)
        key = key or self.random.choice(_KEYS)
        body = b'other' if not self.random.randrange(10) else b'body'
        attempt = Attempt(
            ClaimKey('booking', key),
            number.to_bytes(4, 'big'),
            body,
            _RETENTION_S,
        )
        dependencies = ProcessDependencies(
            lambda: next(self.requests), self.random
        )
        proxy = Proxy(f'proxy-{number}', attempt, dependencies)
        self.proxies[proxy.name] = proxy
        self.naive.bodies.setdefault(key, set()).add(body)
        proxy.epoch = self.random.choice(self.history[-2:])
        self.send(proxy.name, proxy.process.begin(proxy.epoch))
        return proxy

    # The network.

    def send(self, source, sends):
        """Adds messages to the network."""
        for target, message in sends:
            self.network.append(InFlightMessage(source, target, message))

    def deliver(self, index):
        """Delivers one message, or loses it across a partition."""
        sent = self.network.pop(index)
        if (sent.source in self.cut) != (sent.target in self.cut):
            return
        if sent.target in self.nodes:
            self.deliver_to_node(self.nodes[sent.target], sent)
        elif sent.target in self.proxies:
            self.deliver_to_proxy(self.proxies[sent.target], sent)

    def deliver_to_node(self, node, sent):
        """Delivers a message to a holder."""
        if node.core is None:
            return
        if isinstance(sent.message, (HolderStatus, ClaimPage)):
            if node.catch_up is not None:
                step = node.catch_up.receive(
                    sent.source,
                    sent.message,
                    _NOW_MS,
                )
                self.perform(node, step)
            return
        answered = node.core.handle(sent.message, _NOW_MS)
        if answered is not None:
            node.unsynced.extend(answered.records)
            node.queued.append((sent.source, answered.reply))

    def perform(self, node, step):
        """Queues a holder's messages until its records are durable."""
        node.unsynced.extend(step.records)
        node.queued.extend(step.sends)

    def deliver_to_proxy(self, proxy, sent):
        """Delivers a reply to a proxy."""
        if proxy.is_up:
            current = proxy.current
            self.send(proxy.name, current.receive(sent.source, sent.message))
            self.report(proxy)

    # The proxies.

    def report(self, proxy):
        """Compares an outcome with the naive table, once."""
        outcome = proxy.process.outcome
        if outcome is None or proxy.is_reported:
            return
        proxy.is_reported = True
        self.outcomes[proxy.name] = outcome
        if isinstance(outcome, Granted):
            self.naive.grant(proxy.key, proxy.name)
            return
        self.naive.check(proxy.key, proxy.attempt.fingerprint, outcome)
        if proxy.process.withdrawn and not proxy.process.token:
            update = TokenUpdate(proxy.attempt, proxy.process.withdrawn)
            self.send(proxy.name, proxy.start_broadcast(update))

    def run_or_release(self, proxy):
        """Runs a granted request, or releases its claim as not run."""
        if not isinstance(proxy.process.outcome, Granted) or proxy.broadcast:
            return
        answer = None
        if self.random.randrange(2):
            self.naive.run(proxy.key, proxy.name)
            answer = StoredAnswer(200, (), proxy.name.encode())
            self.naive.answers[proxy.key] = proxy.attempt.fingerprint, answer
        else:
            self.naive.release(proxy.key, proxy.name)
        tokens = (proxy.process.token,)
        if answer is None:
            tokens += proxy.process.withdrawn
        update = TokenUpdate(proxy.attempt, tokens, answer)
        self.send(proxy.name, proxy.start_broadcast(update))

    def tick(self, proxy):
        """Fires a proxy's timer."""
        if proxy.is_up:
            self.send(proxy.name, proxy.current.tick())
            self.report(proxy)

    def give_up(self, proxy):
        """Makes a proxy's claim time out."""
        if proxy.is_up and proxy.process.outcome is None:
            self.send(proxy.name, proxy.process.give_up('late'))
            self.report(proxy)

    def crash_proxy(self, proxy):
        """Crashes a proxy; nobody settles or releases its claim."""
        proxy.is_up = False
        self.abandoned.add(proxy.key)

    # The holders and their epoch.

    def poll(self, node):
        """Fires a holder's timer."""
        if node.core is not None and node.catch_up is not None:
            self.perform(node, node.catch_up.poll())

    def restart(self, node):
        """Starts a holder that is down; its log may end in an old epoch."""
        if node.core is None:
            node.start()
            self.adopt_epoch(node, self.random.choice(self.history))

    def send_epoch_to_node(self, node):
        """Sends the newest epoch to a holder."""
        if node.core is not None and node.core.epoch != self.epoch:
            self.adopt_epoch(node, self.epoch)

    def adopt_epoch(self, node, epoch):
        """Makes a holder adopt an epoch, which may be an old one."""
        node.unsynced.extend(node.core.adopt(epoch))
        if node.core.epoch == epoch:
            node.catch_up = CatchUp(
                node.core,
                epoch,
                lambda: next(self.requests),
            )
            self.poll(node)

    def send_epoch_to_proxy(self, proxy):
        """Sends the newest epoch to a proxy."""
        if proxy.is_up and proxy.epoch != self.epoch:
            proxy.epoch = self.epoch
            self.send(proxy.name, proxy.current.begin(self.epoch))
            self.report(proxy)

    def change_holders(self):
        """Removes or adds one holder, also during a handover."""
        holders = list(self.epoch.holders)
        if len(holders) >= self.size:
            holders.pop(self.random.randrange(len(holders)))
        else:
            holders.append(self.pick_holder())
        self.epoch = ClaimEpoch(
            self.epoch.epoch + 1,
            tuple(holders),
            self.epoch.previous or self.epoch.holders,
        )
        self.history.append(self.epoch)

    def pick_holder(self):
        """Returns a new holder, or one that was removed earlier."""
        removed = [
            one.holder
            for one in self.nodes.values()
            if one.holder not in self.epoch.holders
        ]
        if removed and self.random.randrange(2):
            return self.random.choice(removed)
        return self.add_node().holder

    def finish_change(self):
        """Ends a handover once a majority of the holders has caught up."""
        ready = [
            one
            for one in self.epoch.holders
            if self.is_ready(self.nodes[one.instance])
        ]
        needed = count_majority(len(self.epoch.holders))
        if self.epoch.previous and len(ready) >= needed:
            self.epoch = self.epoch._replace(previous=())
            self.history.append(self.epoch)

    def is_ready(self, node):
        """Returns whether a holder is caught up in the newest epoch."""
        return node.is_caught_up() and node.core.epoch == self.epoch

    def wipe(self, node):
        """Loses one data folder, if no other is lost or incomplete."""
        members = [self.nodes[name] for name in list_members(self.epoch)]
        is_whole = all(
            one.core is not None
            and one.core.membership.phase is HolderPhase.FULL
            for one in members
        )
        if is_whole and not any(one.wiped for one in members):
            node.wipe()

    # Schedules.

    def step(self):
        """Takes one random action."""
        name = self.random.choices(_ACTIONS, self.weights)[0]
        node = self.random.choice(list(self.nodes.values()))
        proxy = None
        if self.proxies:
            proxy = self.random.choice(list(self.proxies.values()))
        if name in _NODE_ACTIONS:
            _NODE_ACTIONS[name](self, node)
        elif name in _PROXY_ACTIONS and proxy is not None:
            _PROXY_ACTIONS[name](self, proxy)
        elif name in _WORLD_ACTIONS:
            _WORLD_ACTIONS[name](self)

    def pick_index(self):
        """Returns the index of a random message in the network, or None."""
        if not self.network:
            return None
        return self.random.randrange(len(self.network))

    def deliver_any(self):
        """Delivers one random message."""
        index = self.pick_index()
        if index is not None:
            self.deliver(index)

    def drop_any(self):
        """Loses one random message."""
        index = self.pick_index()
        if index is not None:
            self.network.pop(index)

    def repeat_any(self):
        """Duplicates one random message."""
        index = self.pick_index()
        if index is not None:
            self.network.append(self.network[index])

    def deliver_between(self, *names):
        """Delivers all messages between these nodes, and no others."""
        found = True
        while found:
            for name in names:
                if name in self.nodes:
                    self.sync(self.nodes[name])
            found = [
                index
                for index, sent in enumerate(self.network)
                if {sent.source, sent.target} <= set(names)
            ]
            if found:
                self.deliver(found[0])

    def replace_holders(self, holders, *reached):
        """Changes the holders; only the reached ones receive the epoch."""
        before = self.epoch.previous or self.epoch.holders
        self.epoch = ClaimEpoch(self.epoch.epoch + 1, holders, before)
        self.history.append(self.epoch)
        for _ in range(5):
            for name in reached:
                self.send_epoch_to_node(self.nodes[name])
                self.poll(self.nodes[name])
            self.deliver_between(*reached)
            self.finish_change()

    def cut_off(self):
        """Partitions up to two nodes and proxies from the others.

        Without any, it heals the partition.
        """
        names = [*self.nodes, *self.proxies]
        size = self.random.randrange(3)
        self.cut = set(self.random.sample(names, min(size, len(names))))

    def sync(self, node):
        """Completes a holder's sync."""
        if node.core is not None:
            self.send(node.holder.instance, node.sync())

    def crash(self, node):
        """Crashes a holder, which keeps some of its unsynced records."""
        if node.core is not None:
            node.crash(self.random.randrange(len(node.unsynced) + 1))

    def quiesce(self, rounds=60):
        """Ends all faults and runs until all holders and proxies are done."""
        self.cut = set()
        for _ in range(rounds):
            for node in tuple(self.nodes.values()):
                self.restart(node)
                self.send_epoch_to_node(node)
                self.poll(node)
                self.sync(node)
            self.finish_change()
            for proxy in tuple(self.proxies.values()):
                self.send_epoch_to_proxy(proxy)
            for proxy in tuple(self.proxies.values()):
                self.tick(proxy)
            while self.network:
                self.deliver(0)
            if self.is_quiet():
                return

    def is_quiet(self):
        """Returns whether all holders are ready and all proxies have ended."""
        nodes = [self.nodes[one.instance] for one in self.epoch.holders]
        if self.epoch.previous or not all(map(self.is_ready, nodes)):
            return False
        return not any(
            one.is_up and not one.current.is_ended()
            for one in self.proxies.values()
        )

    def run(self, steps):
        """Runs a schedule, then checks that every key is decided."""
        for _ in range(steps):
            self.step()
        for proxy in tuple(self.proxies.values()):
            self.run_or_release(proxy)
        self.quiesce()
        for proxy in tuple(self.proxies.values()):
            self.give_up(proxy)
            self.run_or_release(proxy)
        self.quiesce()
        for key in _KEYS:
            self.check_final_claim(key)

    def check_final_claim(self, key):
        """Claims the key again without faults and checks the outcome."""
        proxy = self.add_proxy(key)
        self.quiesce()
        self.give_up(proxy)
        outcome = proxy.process.outcome
        if isinstance(outcome, Unavailable):
            raise Violation(f'{key} is unavailable: {outcome.detail}')
        if key in self.abandoned:
            return
        expected = Answered if key in self.naive.runs else Granted
        if not isinstance(outcome, (expected, Mismatch)):
            raise Violation(f'{key} ends as {outcome}, not {expected}')


_NODE_ACTIONS = {
    'sync': World.sync,
    'crash': World.crash,
    'restart': World.restart,
    'poll': World.poll,
    'wipe': World.wipe,
    'send_epoch_to_node': World.send_epoch_to_node,
}
_PROXY_ACTIONS = {
    'tick': World.tick,
    'run_or_release': World.run_or_release,
    'give_up': World.give_up,
    'crash_proxy': World.crash_proxy,
    'send_epoch_to_proxy': World.send_epoch_to_proxy,
}
_WORLD_ACTIONS = {
    'deliver': World.deliver_any,
    'drop': World.drop_any,
    'repeat': World.repeat_any,
    'cut_off': World.cut_off,
    'add_proxy': World.add_proxy,
    'change': World.change_holders,
    'finish': World.finish_change,
}
_WEIGHTED = {
    'deliver': 120,
    'sync': 60,
    'tick': 15,
    'run_or_release': 15,
    'add_proxy': 6,
    'drop': 6,
    'repeat': 6,
    'poll': 6,
    'restart': 6,
    'send_epoch_to_node': 10,
    'send_epoch_to_proxy': 8,
    'finish': 6,
    'crash': 3,
    'cut_off': 3,
    'give_up': 2,
    'change': 2,
    'wipe': 2,
    'crash_proxy': 1,
}
_ACTIONS = tuple(_WEIGHTED)
