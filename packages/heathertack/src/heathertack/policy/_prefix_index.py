"""Which targets hold which prompt prefixes in their cache."""

from __future__ import annotations

import xxhash

#: Characters of a prompt that make one block.
BLOCK_CHARACTERS = 256
#: Tokens that stand for one block.
BLOCK_TOKENS = 64
_MOST_BLOCKS = 32
_MOST_ENTRIES = 4096


def digest_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the digests of a prompt's leading blocks, shortest prefix first."""
    digests: list[int] = []
    state = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        if len(digests) == _MOST_BLOCKS:
            break
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(state.intdigest() >> 1)
    return tuple(digests)


class PrefixIndex:
    """Prefixes that one target is believed to hold.

    The target's cache events have sequence numbers. After a gap in them the
    index is emptied, since it may name prefixes that were evicted.
    """

    def __init__(self) -> None:
        self._digests: dict[int, None] = {}
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Sequence number of the latest event."""
        return self._sequence

    def apply_event(
        self, sequence: int, stored: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        """Take over an event of the target."""
        if sequence <= self._sequence:
            return
        if sequence != self._sequence + 1:
            self._digests.clear()
        self._sequence = sequence
        for digest in evicted:
            self._digests.pop(digest, None)
        self._store(stored)

    def record_sent(self, prefix: tuple[int, ...]) -> None:
        """Expect a prefix to be stored, because its prompt was sent there."""
        self._store(prefix)

    def clear(self) -> None:
        """Forget everything."""
        self._digests.clear()

    def saved_tokens(self, prefix: tuple[int, ...]) -> int:
        """Return the prompt tokens that the target need not compute."""
        matched = 0
        for digest in prefix:
            if digest not in self._digests:
                break
            matched += 1
        return matched * BLOCK_TOKENS

    def _store(self, digests: tuple[int, ...]) -> None:
        for digest in digests:
            self._digests.pop(digest, None)
            self._digests[digest] = None
        while len(self._digests) > _MOST_ENTRIES:
            del self._digests[next(iter(self._digests))]
