"""Dispatches messages from replica streams to their handlers."""

from typing import Any

from bilberry_core.messages.registry import UnknownMessage
from bilberry_core.messages.replica import (
    MembershipRequest,
    Probe,
    ProbeReply,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
)

from bilberry_replica.driver import Driver
from bilberry_replica.forwarding import Forwarding
from bilberry_replica.joining import Joining
from bilberry_replica.reconfiguration import Reconfiguration


class Dispatch:
    """Table of message handlers by message type.

    Messages of types outside the table belong to consensus.
    """

    def __init__(
        self,
        driver: Driver,
        joining: Joining,
        forwarding: Forwarding,
        reconfiguration: Reconfiguration,
    ) -> None:
        """Dispatches to the parts of one replica."""
        self._driver = driver
        requests = forwarding.requests
        self._receivers: dict[type, Any] = {
            Probe: joining.receive_probe,
            ProbeReply: joining.receive_reply,
            SubmitRequest: forwarding.receive_submit,
            SubmitReply: requests.receive_reply,
            ReadRequest: forwarding.receive_read,
            ReadReply: requests.receive_reply,
            MembershipRequest: reconfiguration.receive,
            UnknownMessage: _ignore,
        }

    def receive(self, sender: str, message: Any) -> None:
        """Handles a message from another replica."""
        receiver = self._receivers.get(type(message), self._receive_consensus)
        receiver(sender, message)

    def _receive_consensus(self, sender: str, message: Any) -> None:
        replica = self._driver.replica
        self._driver.run_event(replica.receive, sender, message)


def _ignore(_sender: str, _message: Any) -> None:
    """Ignores a message of a newer protocol version."""
