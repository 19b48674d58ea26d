"""Index of the prompt prefixes in the cache of a target."""

from __future__ import annotations

import xxhash

#: Number of prompt characters in one block.
BLOCK_CHARACTERS = 256
#: Number of tokens that a block is assumed to have.
BLOCK_TOKENS = 64
_MAX_BLOCKS = 32
_MAX_DIGESTS = 4096


def digest_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the digests of a prompt's leading blocks, shortest prefix first."""
    digests: list[int] = []
    state = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        if len(digests) == _MAX_BLOCKS:
            break
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(state.intdigest() >> 1)
    return tuple(digests)


class PrefixIndex:
    """Prompt prefixes that one target is assumed to have in its cache.

    The target's cache events have sequence numbers. After a gap in the sequence
    the index is cleared, since it may list prefixes that were evicted.
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
        """Apply a cache event of the target."""
        if sequence <= self._sequence:
            return
        if sequence != self._sequence + 1:
            self._digests.clear()
        self._sequence = sequence
        for digest in evicted:
            self._digests.pop(digest, None)
        self._store(stored)

    def record_sent(self, prefix: tuple[int, ...]) -> None:
        """Add the prefix of a prompt that was sent to the target."""
        self._store(prefix)

    def clear(self) -> None:
        """Remove all prefixes."""
        self._digests.clear()

    def saved_tokens(self, prefix: tuple[int, ...]) -> int:
        """Return the number of prompt tokens for which prefill is skipped."""
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
        while len(self._digests) > _MAX_DIGESTS:
            del self._digests[next(iter(self._digests))]
