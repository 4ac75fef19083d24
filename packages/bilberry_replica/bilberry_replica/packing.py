"""Packs a change as its difference from its base version.

A configuration changes little between versions. If a replica has the base
version of a change, the log and the messages between replicas carry only the
differences of content and source from the base.

A change is accepted only on top of the newest version, so every replica that
applies an accepted packed change has the base to unpack it.
"""

from bilberry_core.acceptance import Change, HistoryEntry
from bilberry_core.configuration import compute_content_digest
from bilberry_core.messages.replica import ContentDifference, LoggedChange
from zstandard import (
    DICT_TYPE_RAWCONTENT,
    ZstdCompressionDict,
    ZstdCompressionParameters,
    ZstdCompressor,
    ZstdDecompressor,
    ZstdError,
    frame_content_size,
)

from bilberry_replica.error import ConsensusError

#: Largest size of unpacked content or of an unpacked source, in bytes.
MAX_UNPACKED_BYTES = 4 << 20
_COMPRESSION_LEVEL = 3


def pack_change(
    change: Change,
    base: HistoryEntry | None,
    accepted_ms: int = 0,
) -> LoggedChange:
    """Returns a change in the form in which it is logged.

    The change is packed if `base` is its base version.
    """
    if base is None or base.version != change.base_version:
        return LoggedChange(change, accepted_ms)
    difference = ContentDifference(
        compute_content_digest(change.content),
        _compress(change.content, base.content),
        _compress(change.source, base.source),
    )
    emptied = change._replace(content=b'', source=b'')
    return LoggedChange(emptied, accepted_ms, difference)


def get_content_digest(logged: LoggedChange) -> bytes:
    """Returns the digest of a change's content, packed or not."""
    if logged.difference is not None:
        return logged.difference.digest
    return compute_content_digest(logged.change.content)


def unpack_change(logged: LoggedChange, base: HistoryEntry | None) -> Change:
    """Returns a change with its content and source.

    Raises `ConsensusError` if `base` is not what it was packed with.
    """
    change = logged.change
    difference = logged.difference
    if difference is None:
        return change
    if base is None or base.version != change.base_version:
        raise ConsensusError(
            f'change "{change.change_id}" is packed with version '
            + f'{change.base_version}, which is not the newest here',
        )
    content = _decompress(difference.content, base.content)
    if compute_content_digest(content) != difference.digest:
        raise ConsensusError(
            f'change "{change.change_id}" does not unpack to its original '
            + 'content: the base version differs',
        )
    source = _decompress(difference.source, base.source)
    return change._replace(content=content, source=source)


def _compress(text: bytes, base: bytes) -> bytes:
    window = max(len(text) + len(base), 1)
    chosen = ZstdCompressionParameters.from_level(
        _COMPRESSION_LEVEL,
        source_size=len(text),
        dict_size=len(base),
        window_log=max(window.bit_length(), 10),
    )
    compressor = ZstdCompressor(
        compression_params=chosen,
        dict_data=_build_dictionary(base),
    )
    return compressor.compress(text)


def _decompress(difference: bytes, base: bytes) -> bytes:
    decompressor = ZstdDecompressor(dict_data=_build_dictionary(base))
    try:
        size = frame_content_size(difference)
        if size > MAX_UNPACKED_BYTES:
            raise ZstdError(f'{size} bytes exceed {MAX_UNPACKED_BYTES}')
        return decompressor.decompress(difference)
    except ZstdError as error:
        raise ConsensusError(f'a packed change is damaged: {error}') from error


def _build_dictionary(base: bytes) -> ZstdCompressionDict | None:
    if not base:
        return None
    return ZstdCompressionDict(base, dict_type=DICT_TYPE_RAWCONTENT)
