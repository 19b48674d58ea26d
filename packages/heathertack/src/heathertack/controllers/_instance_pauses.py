"""Targets that an admission owner must not assign to certain entry instances."""

from __future__ import annotations

from heathertack.messages import TargetPauses

#: Maximum number of targets that are remembered for one instance.
_MAX_PAUSES = 1024


class InstancePauses:
    """Remembers which targets each entry instance may not use, and until when."""

    def __init__(self) -> None:
        self._pauses: dict[str, dict[str, float]] = {}

    def record(self, instance: str, message: TargetPauses, now: float) -> None:
        """Record the targets that an instance may not use."""
        pauses = self._pauses.setdefault(instance, {})
        for target, seconds in message.pauses:
            if target in pauses or len(pauses) < _MAX_PAUSES:
                pauses[target] = max(now + seconds, pauses.get(target, now))

    def find(self, instance: str, now: float) -> frozenset[str]:
        """Return the targets that an instance may not use now."""
        pauses = self._pauses.get(instance)
        if not pauses:
            return frozenset()
        return frozenset(target for target, until in pauses.items() if until > now)

    def forget(self, now: float) -> None:
        """Forget the pauses that are over."""
        for instance, pauses in tuple(self._pauses.items()):
            kept = {target: until for target, until in pauses.items() if until > now}
            if kept:
                self._pauses[instance] = kept
            else:
                del self._pauses[instance]
