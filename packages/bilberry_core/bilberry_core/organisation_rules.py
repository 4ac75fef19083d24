"""Checks the organisations of a configuration against each other."""

from collections.abc import Mapping
from typing import Any

from bilberry_core.problem import Report
from bilberry_core.schema import join_key


def check_organisations(
    fields: Mapping[str, Any] | None, report: Report
) -> None:
    """Reports each key that two organisations hold, by their names only.

    `fields` is None where the document could not be read.
    """
    owners: dict[str, str] = {}
    organisations = (fields or {}).get('organisations') or {}
    for name, organisation in organisations.items():
        for digest in organisation.get('key_digests', ()):
            owner = owners.setdefault(digest, name)
            if owner != name:
                report.add(
                    f'{join_key("organisations", name)}.key_digests',
                    f'a key already belongs to organisation "{owner}"',
                )
