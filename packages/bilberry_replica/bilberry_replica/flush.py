"""What one sync of the journal makes durable."""

from typing import NamedTuple

from bilberry_core.acceptance import HistoryEntry
from bilberry_core.announced_state import AnnouncedStateTable
from bilberry_core.quota import HolderTable
from bilberry_core.rollout import RolloutTable

from bilberry_replica.machine import StateMachine
from bilberry_replica.node import Send


class DurableTables(NamedTuple):
    """The tables, besides the configuration, that survive a restart."""

    rollouts: RolloutTable
    holders: HolderTable
    states: AnnouncedStateTable


class Flush(NamedTuple):
    """What a sync makes durable, and the messages to send after it.

    `commit_term` is the term of the entry at `commit`.
    """

    term: int
    sends: tuple[Send, ...]
    commit: int
    commit_term: int
    newest: HistoryEntry | None
    tables: DurableTables


def get_tables(machine: StateMachine) -> DurableTables:
    """Returns the tables that committed entries have built."""
    register = machine.register
    return DurableTables(register.rollouts, register.holders, register.states)
