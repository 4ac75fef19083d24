"""Loads user-written YAML documents within limits, and renders documents.

Duplicate keys, aliases, explicit tags, deep nesting, long values and large
files are rejected before a document is built, so that its cost is bounded.
"""

from collections.abc import Iterator

from returns.result import Failure, Result, Success
from yaml import (
    AliasEvent,
    CollectionEndEvent,
    CollectionStartEvent,
    MappingNode,
    ScalarEvent,
    YAMLError,
)
from yaml import dump as dump_yaml
from yaml import load as load_yaml
from yaml import parse as parse_yaml

try:
    from yaml import CSafeDumper as SafeDumper
    from yaml import CSafeLoader as SafeLoader
except ImportError:
    from yaml import SafeDumper, SafeLoader

#: Largest document, in bytes.
MAX_DOCUMENT_BYTES = 2 << 20
#: Maximum number of keys, values, lists and mappings in a document.
MAX_NODES = 100_000
#: Longest key or value, in characters.
MAX_SCALAR_LENGTH = 1024
#: Deepest nesting of mappings and lists.
MAX_DEPTH = 8


class _DocumentError(YAMLError):
    """A document exceeds a limit, repeats a key or uses a rejected feature."""


class _Loader(SafeLoader):
    """A YAML loader that rejects mappings with duplicate keys."""

    def construct_mapping(self, node, deep=False):
        """Builds a mapping; raises `_DocumentError` for a duplicate key."""
        _check_duplicate_keys(node)
        return super().construct_mapping(node, deep=deep)


def load_document(text: str) -> Result[object, str]:
    """Returns the content of a YAML document, or why it is invalid."""
    if len(text.encode(errors='replace')) > MAX_DOCUMENT_BYTES:
        return Failure(f'expected at most {MAX_DOCUMENT_BYTES} bytes')
    try:
        _check_events(text)
        return Success(load_yaml(text, Loader=_Loader))  # noqa: S506
    except (YAMLError, ValueError, OverflowError) as error:
        return Failure(f'expected YAML: {_describe_error(error)}')


def render_document(document: object) -> str:
    """Returns a document as YAML that `load_document` can load."""
    return dump_yaml(
        document,
        Dumper=SafeDumper,
        sort_keys=False,
        allow_unicode=True,
    )


def count_nodes(document: object) -> int:
    """Returns the number of keys, values, lists and mappings in a document."""
    if isinstance(document, dict):
        return 1 + len(document) + sum(map(count_nodes, document.values()))
    if isinstance(document, list):
        return 1 + sum(map(count_nodes, document))
    return 1


def _check_events(text: str) -> None:
    depth = 0
    nodes = 0
    for event in parse_yaml(text, Loader=SafeLoader):
        if isinstance(event, CollectionEndEvent):
            depth -= 1
        elif isinstance(event, AliasEvent):
            raise _DocumentError(f'alias "{event.anchor}" is not allowed')
        elif isinstance(event, (ScalarEvent, CollectionStartEvent)):
            depth += isinstance(event, CollectionStartEvent)
            nodes += 1
            _check_node(event)
            _check_bounds(depth, nodes)


def _check_bounds(depth: int, nodes: int) -> None:
    if depth > MAX_DEPTH:
        raise _DocumentError(f'nested deeper than {MAX_DEPTH} levels')
    if nodes > MAX_NODES:
        raise _DocumentError(f'more than {MAX_NODES} keys and values')


def _check_node(event: ScalarEvent | CollectionStartEvent) -> None:
    if event.tag is not None:
        raise _DocumentError(f'tag "{event.tag}" is not allowed')
    if isinstance(event, CollectionStartEvent):
        return
    if len(event.value) > MAX_SCALAR_LENGTH:
        line = event.start_mark.line + 1
        raise _DocumentError(
            f'value of more than {MAX_SCALAR_LENGTH} characters at line {line}',
        )


def _check_duplicate_keys(node: MappingNode) -> None:
    seen: set[str] = set()
    for key in _iterate_scalar_keys(node):
        if key in seen:
            line = node.start_mark.line + 1
            raise _DocumentError(
                f'duplicate key "{key}" in the mapping at line {line}',
            )
        seen.add(key)


def _iterate_scalar_keys(node: MappingNode) -> Iterator[str]:
    for key_node, _ in node.value:
        if isinstance(key_node.value, str):
            yield key_node.value


def _describe_error(error: Exception) -> str:
    problem = getattr(error, 'problem', None)
    mark = getattr(error, 'problem_mark', None)
    if problem and mark:
        return f'{problem} at line {mark.line + 1}, column {mark.column + 1}'
    return ' '.join(str(error).split())
