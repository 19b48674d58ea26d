"""A model engine with continuous batching and a bounded cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

_BLOCK_TOKENS = 64


class EngineSpeed(NamedTuple):
    """Costs of one step."""

    #: Fixed part, seconds.
    step: float = 0.014
    #: For each generation in the batch, seconds.
    per_generation: float = 0.0003
    #: For each cached token of the batch, seconds.
    per_cached_token: float = 1.5e-7
    #: For each prompt token computed, seconds.
    per_prompt_token: float = 1.2e-4


class EngineSize(NamedTuple):
    """Bounds of an engine."""

    #: Tokens that the cache holds.
    cache_tokens: int = 60_000
    #: Most generations in a batch.
    batch: int = 256
    #: Prompt tokens computed in one step, unless a single prompt is longer.
    prompt_tokens_per_step: int = 2048


class EngineRequest(NamedTuple):
    """A generation as the engine sees it."""

    generation_id: str
    prompt_tokens: int
    #: Tokens that the answer will have; no router may know it.
    length: int
    priority: int
    #: Digests of the prompt's leading blocks.
    prefix: tuple[int, ...] = ()


class TokenMade(NamedTuple):
    """One token of a generation."""

    generation_id: str
    #: Number of tokens before it.
    offset: int
    is_last: bool


class PrefixChange(NamedTuple):
    """Prefixes that the cache stored or evicted."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class _Sequence:
    """A generation while the engine holds it."""

    def __init__(self, request: EngineRequest, order: int) -> None:
        self.request = request
        self.order = order
        self.made = 0

    @property
    def tokens(self) -> int:
        """Tokens that it holds in the cache while it runs."""
        return self.request.prompt_tokens + self.made

    @property
    def rank(self) -> tuple[int, int]:
        """Order of service: priority, then arrival."""
        return (-self.request.priority, self.order)


class EngineModel:
    """Batches generations; each step makes one token for each of them.

    A full cache preempts the generation with the lowest rank. It loses its
    cached tokens and computes them again when there is room.

    Parameters
    ----------
    size : EngineSize
        Bounds.
    speed : EngineSpeed
        Costs.
    """

    def __init__(self, size: EngineSize, speed: EngineSpeed) -> None:
        self._size = size
        self._speed = speed
        self._waiting: dict[str, _Sequence] = {}
        self._running: dict[str, _Sequence] = {}
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._changes: list[PrefixChange] = []
        self._arrivals = 0
        self._slowdown = 1.0
        self.preemptions = 0
        self.preempted: list[str] = []

    @property
    def running(self) -> int:
        """Generations in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Generations that wait for room."""
        return len(self._waiting)

    @property
    def cache_tokens(self) -> int:
        """Tokens that running generations hold in the cache."""
        return sum(sequence.tokens for sequence in self._running.values())

    @property
    def cache_capacity(self) -> int:
        """Tokens that the cache holds."""
        return self._size.cache_tokens

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._running and not self._waiting

    def slow_down(self, factor: float) -> None:
        """Make every step take longer."""
        self._slowdown = factor

    def submit(self, request: EngineRequest) -> None:
        """Take a request."""
        self._arrivals += 1
        self._waiting[request.generation_id] = _Sequence(request, self._arrivals)

    def cancel(self, generation_id: str) -> None:
        """Drop a generation."""
        self._waiting.pop(generation_id, None)
        self._running.pop(generation_id, None)

    def take_prefix_changes(self) -> tuple[PrefixChange, ...]:
        """Return the changes of the prefix cache since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def start_step(self) -> float:
        """Fill the batch and return how long the step takes, seconds."""
        computed = self._admit()
        speed = self._speed
        duration = speed.step
        duration += speed.per_generation * len(self._running)
        duration += speed.per_cached_token * self.cache_tokens
        duration += speed.per_prompt_token * computed
        return duration * self._slowdown

    def finish_step(self) -> tuple[TokenMade, ...]:
        """Return the tokens that the step made."""
        self._make_room()
        tokens: list[TokenMade] = []
        for generation_id, sequence in tuple(self._running.items()):
            is_last = sequence.made + 1 >= sequence.request.length
            tokens.append(TokenMade(generation_id, sequence.made, is_last))
            sequence.made += 1
            if is_last:
                del self._running[generation_id]
        return tuple(tokens)

    def _admit(self) -> int:
        """Move waiting generations into the batch; return prompt tokens computed."""
        computed = 0
        free = self._size.cache_tokens - self.cache_tokens - len(self._running)
        for sequence in sorted(self._waiting.values(), key=lambda item: item.rank):
            cost = self._prompt_cost(sequence)
            is_over_budget = computed + cost > self._size.prompt_tokens_per_step
            if len(self._running) >= self._size.batch or sequence.tokens + 1 > free:
                break
            if computed and is_over_budget:
                break
            computed += cost
            free -= sequence.tokens + 1
            del self._waiting[sequence.request.generation_id]
            self._running[sequence.request.generation_id] = sequence
            self._store_prefix(sequence.request.prefix)
        return computed

    def _prompt_cost(self, sequence: _Sequence) -> int:
        saved = 0
        for digest in sequence.request.prefix:
            if digest not in self._prefixes:
                break
            saved += _BLOCK_TOKENS
        return max(sequence.tokens - saved, 1)

    def _store_prefix(self, prefix: tuple[int, ...]) -> None:
        stored = tuple(digest for digest in prefix if digest not in self._prefixes)
        for digest in prefix:
            self._prefixes[digest] = None
            self._prefixes.move_to_end(digest)
        evicted: list[int] = []
        limit = max(self._size.cache_tokens - self.cache_tokens, 0) // _BLOCK_TOKENS
        while len(self._prefixes) > limit:
            evicted.append(self._prefixes.popitem(last=False)[0])
        if stored or evicted:
            self._changes.append(PrefixChange(stored, tuple(evicted)))

    def _make_room(self) -> None:
        """Preempt generations until each running one has room for a token."""
        while self.cache_tokens + len(self._running) > self._size.cache_tokens:
            if len(self._running) <= 1:
                return
            victim = max(self._running.values(), key=lambda item: item.rank)
            generation_id = victim.request.generation_id
            del self._running[generation_id]
            self._waiting[generation_id] = victim
            self.preemptions += 1
            self.preempted.append(generation_id)
