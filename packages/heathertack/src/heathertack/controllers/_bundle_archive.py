"""Bundles that the leader distributes to instances."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.bundle import (
    Bundle,
    compare_bundles,
    pack_bundle,
    pack_changes,
    read_canonical,
)
from heathertack.messages import BundlePush
from heathertack.state import AcceptedBundle


class _ArchivedBundle(NamedTuple):
    """A parsed bundle with its log index and digest."""

    log_index: int
    bundle: Bundle
    digest: str


class BundleArchive:
    """Stores the current and the previous bundle, packed once for all instances."""

    def __init__(self) -> None:
        self._accepted: AcceptedBundle | None = None
        self._current: _ArchivedBundle | None = None
        self._previous: _ArchivedBundle | None = None
        self._full_push: BundlePush | None = None
        self._delta_push: BundlePush | None = None

    @property
    def log_index(self) -> int:
        """Log index of the current bundle; 0 before the first one."""
        return self._accepted.log_index if self._accepted is not None else 0

    def store(self, accepted: AcceptedBundle) -> None:
        """Make a committed bundle the current one if it is newer."""
        if accepted.log_index <= self.log_index:
            return
        self._previous = self._current
        self._accepted = accepted
        self._current = None
        self._full_push = None
        self._delta_push = None

    def build_push(self, base_index: int) -> BundlePush | None:
        """Return the update for an instance that has the bundle ``base_index``.

        Only the changes are sent to an instance that has the previous bundle.
        Returns ``None`` if the instance is up to date or no bundle is committed yet.
        """
        if self._accepted is None or base_index >= self._accepted.log_index:
            return None
        current = self._parse_current(self._accepted)
        previous = self._previous
        if previous is not None and previous.log_index == base_index:
            return self._pack_changes(previous, current)
        if self._full_push is None:
            data = pack_bundle(current.bundle)
            self._full_push = BundlePush(current.log_index, current.digest, 0, data)
        return self._full_push

    def _parse_current(self, accepted: AcceptedBundle) -> _ArchivedBundle:
        if self._current is None:
            bundle = read_canonical(accepted.signed.text)
            self._current = _ArchivedBundle(accepted.log_index, bundle, accepted.digest)
        return self._current

    def _pack_changes(
        self, previous: _ArchivedBundle, current: _ArchivedBundle
    ) -> BundlePush:
        if self._delta_push is None:
            changes = compare_bundles(previous.bundle, current.bundle)
            self._delta_push = BundlePush(
                current.log_index,
                current.digest,
                previous.log_index,
                pack_changes(changes),
            )
        return self._delta_push
