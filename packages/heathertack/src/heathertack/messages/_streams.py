"""Messages about software versions of targets, and of the streams that they began.

They are messages of their own, and not fields of older ones, since an instance of an
older build ignores messages of a type that it does not know.
"""

from __future__ import annotations

from typing import NamedTuple


class TargetVersion(NamedTuple):
    """Software version of a target."""

    target: str
    #: Empty if the platform names none.
    version: str


class TargetVersions(NamedTuple):
    """Versions that changed, sent by the leader before the lease grant."""

    term: int
    versions: tuple[TargetVersion, ...]


class StreamOrigin(NamedTuple):
    """Software version of the target that began a stream."""

    #: Identifies the stream by its account and the request that began it.
    stream: str
    version: str


class StreamOrigins(NamedTuple):
    """Asks an instance to remember the origins of streams."""

    origins: tuple[StreamOrigin, ...]


class StreamOriginQuery(NamedTuple):
    """Asks an instance for the origin of a stream."""

    stream: str
    service: str


class StreamOriginReply(NamedTuple):
    """Answers a query."""

    stream: str
    #: ``None`` if the instance does not remember the stream.
    version: str | None
    #: Versions of the targets of the service that the instance knows of. Only older
    #: builds read them.
    known_versions: tuple[str, ...]
