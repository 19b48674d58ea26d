"""Keeps a stream at targets of the software version that began it."""

from __future__ import annotations

from heathertack.controllers import (
    PlacementDenied,
    StreamBegan,
    StreamEnded,
    TargetChosen,
    find_version,
    has_version,
    list_incompatible_targets,
)
from heathertack.messages import StreamOrigin
from heathertackd import _clock
from heathertackd._instance import Instance
from heathertackd.forwarding._fingerprints import identify_stream
from heathertackd.forwarding._request_spec import RequestSpec

#: Retry delay sent to a caller whose stream can't be resumed now, seconds: engines
#: restart, and instances learn of them, within seconds.
_RETRY_AFTER_SECONDS = 1.0


class StreamVersion:
    """Software version that one stream is bound to.

    Parameters
    ----------
    instance : Instance
        The daemon.
    spec : RequestSpec
        The validated request.
    """

    def __init__(self, instance: Instance, spec: RequestSpec) -> None:
        self._instance = instance
        self._spec = spec
        self._version: str | None = None
        self._is_bound = False
        self._streams: tuple[str, ...] = ()

    @property
    def version(self) -> str | None:
        """The version; ``None`` while the stream is not bound, or if it is unknown."""
        return self._version

    @property
    def must_find_origin(self) -> bool:
        """Whether the caller resumes a stream whose version is not known yet."""
        is_resumable = self._spec.route["kind"] == "resumable"
        return is_resumable and bool(self._spec.head.last_event_id)

    async def find_origin(self) -> str:
        """Bind a stream that the caller resumes, and return how its version was found.

        The stream stays bound to an unknown version if its origin is not known.
        """
        spec = self._spec
        resumed = spec.head.resumed_request_id
        stream = identify_stream(spec.account, resumed)
        origin = await self._instance.find_origin(stream, spec.service)
        self._is_bound = True
        self._version = origin.version
        if resumed:
            self._streams = (stream,)
        return origin.reason

    def bind(self, target: str) -> None:
        """Bind the stream to the version of the target that sends its first events."""
        if not self._is_bound:
            self._is_bound = True
            self._version = find_version(self._instance.board, target)
        if self._spec.route["kind"] != "resumable" or self._version is None:
            return
        own = identify_stream(self._spec.account, self._spec.head.request_id)
        self._streams = (*self._streams, own)
        for stream in self._streams:
            origin = StreamOrigin(stream, self._version)
            self._handle(StreamBegan(origin))

    def end(self) -> None:
        """Stop refreshing the origin of the stream, which callers may still resume."""
        for stream in self._streams:
            self._handle(StreamEnded(stream))

    def list_excluded(self) -> tuple[str, ...]:
        """Return the targets that can't continue the stream."""
        if not self._is_bound or self._version is None:
            return ()
        return list_incompatible_targets(
            self._instance.board, self._spec.service, self._version
        )

    def accepts(self, target: str) -> bool:
        """Return whether a target can continue the stream, or begin it."""
        if not self._is_bound:
            return True
        version = find_version(self._instance.board, target)
        return version is not None and version == self._version

    def find_refusal(self, key: str, attempt: int) -> PlacementDenied | None:
        """Return why no target can continue the stream, ``None`` if one may."""
        if not self._is_bound:
            return None
        if self._version is None:
            reason = "the software version that began the stream is not known"
            return self._deny(key, attempt, "origin_unknown", reason)
        if not self._instance.are_versions_confirmed(_clock.monotonic()):
            reason = "the versions of the targets are not confirmed"
            return self._deny(key, attempt, "version_unconfirmed", reason)
        if not has_version(self._instance.board, self._spec.service, self._version):
            reason = f"no target of version {self._version!r} is live"
            return self._deny(key, attempt, "version_unavailable", reason)
        return None

    def find_mismatch(self, chosen: TargetChosen) -> PlacementDenied | None:
        """Return why a chosen target can't continue the stream, if it can't."""
        if not self._is_bound:
            return None
        if not self._instance.are_versions_confirmed(_clock.monotonic()):
            reason = "the versions of the targets are not confirmed"
            return self._deny(
                chosen.generation_id, chosen.attempt, "version_unconfirmed", reason
            )
        if self.accepts(chosen.target):
            return None
        reason = f"target {chosen.target} does not have version {self._version!r}"
        return self._deny(
            chosen.generation_id, chosen.attempt, "version_unavailable", reason
        )

    def _deny(self, key: str, attempt: int, code: str, reason: str) -> PlacementDenied:
        return PlacementDenied(key, attempt, code, _RETRY_AFTER_SECONDS, reason)

    def _handle(self, event: StreamBegan | StreamEnded) -> None:
        actions = self._instance.origins.handle(event, _clock.monotonic())
        self._instance.carry_out(actions)
