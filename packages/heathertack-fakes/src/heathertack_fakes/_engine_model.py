"""Model of an engine with continuous batching and a bounded key-value cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

_BLOCK_TOKENS = 64


class EngineSpeed(NamedTuple):
    """Components of the duration of one step."""

    #: Fixed duration of a step, seconds.
    step: float = 0.014
    #: Added for each generation in the batch, seconds.
    per_generation: float = 0.0003
    #: Added for each cached token of the batch, seconds.
    per_cached_token: float = 1.5e-7
    #: Added for each prompt token computed, seconds.
    per_prompt_token: float = 1.2e-4


class EngineSize(NamedTuple):
    """Capacity limits of an engine."""

    #: Capacity of the cache, tokens.
    cache_tokens: int = 60_000
    #: Maximum number of generations in a batch.
    batch: int = 256
    #: Maximum prompt tokens computed in one step, unless a single prompt is longer.
    prompt_tokens_per_step: int = 2048
    #: Prompt tokens read in one step if prompts are read in pieces between the steps of
    #: other generations; 0 if they are read whole.
    piece_tokens: int = 0


class EngineRequest(NamedTuple):
    """Generation request as submitted to the engine."""

    generation_id: str
    prompt_tokens: int
    #: Number of tokens that will be generated; not available to routers.
    length: int
    priority: int
    #: Digests of the leading blocks of the prompt.
    prefix: tuple[int, ...] = ()


class GeneratedToken(NamedTuple):
    """One generated token."""

    generation_id: str
    #: Number of tokens generated before it.
    offset: int
    is_last: bool


class PrefixChange(NamedTuple):
    """Digests of prompt blocks that the prefix cache stored or evicted."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class _Sequence:
    """State of a generation that is waiting or running."""

    def __init__(self, request: EngineRequest, order: int) -> None:
        self.request = request
        self.order = order
        self.generated_tokens = 0
        #: Prompt tokens that are still to be read in pieces.
        self.unread = 0

    @property
    def tokens(self) -> int:
        """Number of cache tokens that it occupies while it runs."""
        return self.request.prompt_tokens + self.generated_tokens

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of scheduling: descending priority, then arrival order."""
        return (-self.request.priority, self.order)


class EngineModel:
    """Simulates an engine that generates one token per step for each generation.

    When the cache is full, the generation that is last in scheduling order is
    preempted: its cached tokens are discarded and computed again when it is
    readmitted.

    Parameters
    ----------
    size : EngineSize
        Capacity limits.
    speed : EngineSpeed
        Components of the step duration.
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
        """Number of generations in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of generations that wait for admission to the batch."""
        return len(self._waiting)

    @property
    def cache_tokens(self) -> int:
        """Number of cache tokens that running generations occupy."""
        return sum(sequence.tokens for sequence in self._running.values())

    @property
    def cache_capacity(self) -> int:
        """Capacity of the cache, tokens."""
        return self._size.cache_tokens

    @property
    def is_idle(self) -> bool:
        """Whether no generation is running or waiting."""
        return not self._running and not self._waiting

    def slow_down(self, factor: float) -> None:
        """Multiply the duration of every following step by a factor."""
        self._slowdown = factor

    def submit(self, request: EngineRequest) -> None:
        """Add a request to the waiting generations."""
        self._arrivals += 1
        self._waiting[request.generation_id] = _Sequence(request, self._arrivals)

    def cancel(self, generation_id: str) -> None:
        """Remove a generation."""
        self._waiting.pop(generation_id, None)
        self._running.pop(generation_id, None)

    def take_prefix_changes(self) -> tuple[PrefixChange, ...]:
        """Return and clear the changes of the prefix cache since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def start_step(self) -> float:
        """Admit waiting generations and return the duration of the step, seconds."""
        computed = self._admit()
        if self._size.piece_tokens:
            computed = self._read_piece()
        speed = self._speed
        duration = speed.step
        duration += speed.per_generation * len(self._running)
        duration += speed.per_cached_token * self.cache_tokens
        duration += speed.per_prompt_token * computed
        return duration * self._slowdown

    def finish_step(self) -> tuple[GeneratedToken, ...]:
        """Return the tokens that the step generated."""
        self._preempt_for_step()
        tokens: list[GeneratedToken] = []
        for generation_id, sequence in tuple(self._running.items()):
            if sequence.unread:
                continue
            is_last = sequence.generated_tokens + 1 >= sequence.request.length
            tokens.append(
                GeneratedToken(generation_id, sequence.generated_tokens, is_last)
            )
            sequence.generated_tokens += 1
            if is_last:
                del self._running[generation_id]
        return tuple(tokens)

    def _admit(self) -> int:
        """Admit waiting generations; return the number of prompt tokens computed."""
        computed = 0
        free = self._size.cache_tokens - self.cache_tokens - len(self._running)
        for sequence in sorted(self._waiting.values(), key=lambda item: item.rank):
            cost = self._prompt_cost(sequence)
            is_over_budget = computed + cost > self._size.prompt_tokens_per_step
            if len(self._running) >= self._size.batch or sequence.tokens + 1 > free:
                break
            if computed and is_over_budget and not self._size.piece_tokens:
                break
            computed += cost
            sequence.unread = cost if self._size.piece_tokens else 0
            free -= sequence.tokens + 1
            del self._waiting[sequence.request.generation_id]
            self._running[sequence.request.generation_id] = sequence
            self._store_prefix(sequence.request.prefix)
        return computed

    def _read_piece(self) -> int:
        """Read the next piece of prompts, and return its tokens."""
        left = self._size.piece_tokens
        for sequence in self._running.values():
            read = min(sequence.unread, left)
            sequence.unread -= read
            left -= read
        return self._size.piece_tokens - left

    def _prompt_cost(self, sequence: _Sequence) -> int:
        cached = 0
        for digest in sequence.request.prefix:
            if digest not in self._prefixes:
                break
            cached += _BLOCK_TOKENS
        return max(sequence.tokens - cached, 1)

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

    def _preempt_for_step(self) -> None:
        """Preempt generations until the cache has room for one token of each."""
        while self.cache_tokens + len(self._running) > self._size.cache_tokens:
            if len(self._running) <= 1:
                return
            victim = max(self._running.values(), key=lambda item: item.rank)
            generation_id = victim.request.generation_id
            del self._running[generation_id]
            self._waiting[generation_id] = victim
            self.preemptions += 1
            self.preempted.append(generation_id)
