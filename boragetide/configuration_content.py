"""Content of a configuration as it is sent to instances that have an older one.

A configuration is encoded as a whole, so that new fields travel with it. All members
encode and compress the same configuration to the same bytes, so that an instance can
get one part from one member and the rest from another.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeAlias

import msgspec

from boragetide.errors import BoragetideError, ContentError
from boragetide.types import ClassName, ClassTarget, Configuration

# A notice carries content of up to this size, uncompressed. 8 KiB occupy a link of
# 9.5 Mbit/s for 7 ms, which is less than the round trip that a request would add.
MAX_NOTICE_CONTENT = 8 * 1024  # bytes
# The boundary accepts a text of 8 MiB, whose classes take about as much again.
MAX_CONTENT = 32 * 1024 * 1024  # bytes, uncompressed
# Deriving the classes holds the event loop, for 4 ms with 0.27 MB of text and for
# 0.36 s with 7.9 MB, which is close to the silence after which a leader is replaced.
MAX_DERIVED_TEXT = 1024 * 1024  # characters
# Level 6 takes 1.6 ms for 1,400 routes, 0.9 ms more than level 1, and saves a quarter.
COMPRESSION_LEVEL = 6

DeriveClasses: TypeAlias = Callable[[str], dict[ClassName, ClassTarget]]


@dataclass(frozen=True, slots=True)
class _Content:
    """What is encoded.

    Parameters
    ----------
    has_classes
        Whether ``configuration`` has its classes, which otherwise follow from its text.
    """

    configuration: Configuration
    has_classes: bool


# Sets are sorted, because their order differs between processes.
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(_Content)


@dataclass(frozen=True, slots=True)
class PackedConfiguration:
    """Compressed content of a configuration.

    Parameters
    ----------
    digest
        SHA-256 of ``data``, in hexadecimal digits.
    """

    version: int
    digest: str
    data: bytes


class ContentCache:
    """Encoded and compressed content of the newest configuration of this instance.

    A member answers hundreds of instances after a change; each step is done once for a
    configuration, when its result is needed first.

    Parameters
    ----------
    derive_classes
        Returns the classes of a published text, on a front end that has such texts.
    """

    def __init__(self, derive_classes: DeriveClasses | None = None) -> None:
        self._derive_classes = derive_classes
        self._configuration: Configuration | None = None
        self._encoded: bytes | None = None
        self._packed: PackedConfiguration | None = None
        self._is_small = True

    def is_small(self, configuration: Configuration) -> bool:
        """Return whether a notice may carry the configuration itself."""
        self._select(configuration)
        return self._is_small

    def is_packed(self, configuration: Configuration) -> bool:
        """Return whether the compressed content is in memory."""
        return self._configuration is configuration and self._packed is not None

    def pack(self, configuration: Configuration) -> PackedConfiguration:
        """Return the compressed content."""
        self._select(configuration)
        if self._packed is None:
            encoded = self._encoded or b""
            self._packed = _compress(configuration.version, encoded)
            self._encoded = None
        return self._packed

    def _select(self, configuration: Configuration) -> None:
        if self._configuration is configuration:
            return
        self._configuration = configuration
        self._packed = None
        self._encoded = _encode(configuration, self._derive_classes)
        self._is_small = len(self._encoded) <= MAX_NOTICE_CONTENT


def _encode(
    configuration: Configuration, derive_classes: DeriveClasses | None
) -> bytes:
    """Encode a configuration, without classes that its text determines."""
    content = _Content(configuration, True)
    length = len(configuration.document)
    if derive_classes is not None and 0 < length <= MAX_DERIVED_TEXT:
        try:
            derived = derive_classes(configuration.document)
        except BoragetideError:
            derived = None
        if derived == configuration.classes_by_name:
            content = _Content(replace(configuration, classes_by_name={}), False)
    return _ENCODER.encode(content)


def _compress(version: int, encoded: bytes) -> PackedConfiguration:
    data = zlib.compress(encoded, COMPRESSION_LEVEL)
    return PackedConfiguration(version, hashlib.sha256(data).hexdigest(), data)


def unpack(
    packed: PackedConfiguration, derive_classes: DeriveClasses | None = None
) -> Configuration:
    """Return the configuration of a compressed content.

    Raises
    ------
    ContentError
        If the content does not match its digest or its version, or is not that of a
        configuration.
    """
    if hashlib.sha256(packed.data).hexdigest() != packed.digest:
        raise ContentError("the content does not match its digest")
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(packed.data, MAX_CONTENT)
        content = _DECODER.decode(encoded)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise ContentError(f"unreadable content: {error}") from error
    configuration = content.configuration
    if configuration.version != packed.version:
        raise ContentError(f"the content has version {configuration.version}")
    if content.has_classes:
        return configuration
    if derive_classes is None:
        raise ContentError("the content has no classes")
    try:
        classes_by_name = derive_classes(configuration.document)
    except BoragetideError as error:
        raise ContentError(f"no classes follow from the text: {error}") from error
    return replace(configuration, classes_by_name=classes_by_name)
