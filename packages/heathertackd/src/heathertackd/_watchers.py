"""Polls the platform's list of targets and the load of engines."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Annotated, Literal, NamedTuple, Protocol, TypedDict

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from heathertack.blackboard import BUNDLE, CONTROL, TARGETS
from heathertack.controllers import (
    CacheEventReceived,
    ColdStart,
    LoadReportMissed,
    LoadReportReceived,
    PlatformTargetsListed,
    is_evacuated,
)
from heathertack.decoding import (
    MAX_TOKENS,
    DecodingError,
    Name,
    decode_entries,
    decode_json,
    parse_address,
)
from heathertack.messages import TargetRecord, TargetState
from heathertackd import _clock
from heathertackd._engine_client import EngineClient
from heathertackd._instance import Instance
from heathertackd._response_bodies import read_limited

_PLATFORM_POLL_SECONDS = 0.3
_PLATFORM_TIMEOUT_SECONDS = 2.0
_LOAD_POLL_SECONDS = 0.5
_MAX_LIST_BYTES = 4 * 1024 * 1024
#: Interval between checks for whether this instance leads.
_LEADERSHIP_POLL_SECONDS = 0.05


_ENTRY = "$.instances[]"
#: Maximum number of kinds of unreadable entries that are logged.
_MAX_LOGGED_KINDS = 100


class _PlatformInstance(TypedDict):
    name: Annotated[Name, msgspec.Meta(min_length=1)]
    service: Name
    address: str
    failure_domain: Name
    state: Literal["live", "leaving"]
    cache_tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class ListedTarget(NamedTuple):
    """A target as the platform lists it."""

    record: TargetRecord
    #: Version of its software, empty if the platform names none.
    version: str = ""
    #: ``None`` if it never becomes cold.
    cold_start: ColdStart | None = None


class TargetListing(NamedTuple):
    """The platform's list of targets at one moment."""

    targets: tuple[ListedTarget, ...]
    #: Why entries were left out.
    errors: tuple[DecodingError, ...] = ()


class TargetLister(Protocol):
    """Fetches the platform's list of targets."""

    async def fetch(self) -> Result[TargetListing, str]:
        """Return the whole list, or why it can't be read.

        An entry that can't be read does not affect the others.
        """
        ...


class StandardTargetLister:
    """Reads the list in the product's own format.

    Parameters
    ----------
    url : str
        URL of the list.
    session : aiohttp.ClientSession
        Connection to the platform.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url
        self._session = session

    async def fetch(self) -> Result[TargetListing, str]:
        """Return the whole list, or why it can't be read."""
        timeout = aiohttp.ClientTimeout(total=_PLATFORM_TIMEOUT_SECONDS)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                body = await read_limited(response, _MAX_LIST_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Failure(repr(error))
        split = decode_entries("$", body, "instances")
        if isinstance(split, Failure):
            return Failure(str(split.failure()))
        targets: list[ListedTarget] = []
        errors: list[DecodingError] = []
        for entry in split.unwrap().entries:
            match decode_target(entry):
                case Success(target):
                    targets.append(ListedTarget(target))
                case Failure(error):
                    errors.append(error)
        return Success(TargetListing(tuple(targets), tuple(errors)))


class PlatformWatcher:
    """Polls the platform's list of targets while this instance leads.

    Parameters
    ----------
    instance : Instance
        The daemon.
    lister : TargetLister
        Fetches the list.
    interval : float
        Pause between two polls, seconds.
    """

    def __init__(
        self,
        instance: Instance,
        lister: TargetLister,
        interval: float = _PLATFORM_POLL_SECONDS,
    ) -> None:
        self._instance = instance
        self._lister = lister
        self._interval = interval
        self._is_reachable = True
        self._logged_kinds: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            control = self._instance.board.read(CONTROL)
            if control.may_lead(_clock.monotonic()):
                await self._fetch()
                await asyncio.sleep(self._interval)
            else:
                await asyncio.sleep(_LEADERSHIP_POLL_SECONDS)

    async def _fetch(self) -> None:
        result = await self._lister.fetch()
        is_reachable = isinstance(result, Success)
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            event = "platform_back" if is_reachable else "platform_unreadable"
            detail = "" if is_reachable else result.failure()
            self._instance.logger.warning(event, detail=detail)
        if not is_reachable or self._instance.grantor is None:
            return
        listing: TargetListing = result.unwrap()
        self._log_errors(listing.errors)
        targets = tuple(
            target._replace(record=self._complete(target.record))
            for target in listing.targets
        )
        self._log_changes(targets)
        listed = PlatformTargetsListed(
            tuple(target.record for target in targets),
            {target.record.name: target.version for target in targets},
            {t.record.name: t.cold_start for t in targets if t.cold_start is not None},
        )
        actions = self._instance.grantor.handle(listed, _clock.monotonic())
        self._instance.carry_out(actions)

    def _complete(self, target: TargetRecord) -> TargetRecord:
        """Add the capacity that the bundle gives for engines of the service."""
        bundle = self._instance.board.read(BUNDLE).bundle
        service = bundle["services"].get(target.service) if bundle is not None else None
        engine = service.get("engine") if service is not None else None
        if engine is None or target.cache_tokens:
            return target
        slots = target.slots or engine["slots"]
        return target._replace(cache_tokens=engine["cache_tokens"], slots=slots)

    def _log_errors(self, errors: tuple[DecodingError, ...]) -> None:
        """Log the first entry of each kind that can't be read."""
        for error in errors:
            kind = (error.where, error.expected)
            if kind in self._logged_kinds or (
                len(self._logged_kinds) >= _MAX_LOGGED_KINDS
            ):
                continue
            self._logged_kinds.add(kind)
            self._instance.logger.warning("target_unreadable", detail=str(error))

    def _log_changes(self, targets: tuple[ListedTarget, ...]) -> None:
        board = self._instance.board
        known = board.read(TARGETS)
        for target, version, _ in targets:
            before = known.get(target.name)
            is_known = before is not None and before.state is target.state
            if not is_known and not is_evacuated(board, target.name):
                self._instance.logger.info(
                    "target_listed",
                    target=target.name,
                    service=target.service,
                    address=target.address,
                    version=version,
                    state=target.state.value,
                )


class LoadWatcher:
    """Polls the load of the engines to which this instance admits requests.

    Parameters
    ----------
    instance : Instance
        The daemon.
    engines : EngineClient
        Connections to engines.
    """

    def __init__(self, instance: Instance, engines: EngineClient) -> None:
        self._instance = instance
        self._engines = engines
        self._missed_reports: Counter[str] = Counter()
        self._cache_sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            watched = tuple(self._instance.admission.watched_targets)
            results = await asyncio.gather(
                *(self._poll(target) for target in watched), return_exceptions=True
            )
            for target, result in zip(watched, results, strict=True):
                if isinstance(result, Exception):
                    self._instance.failures.record("load_report", result, target=target)
            await asyncio.sleep(_LOAD_POLL_SECONDS)

    async def _poll(self, target: str) -> None:
        record = self._instance.board.read(TARGETS).get(target)
        if record is None:
            return
        status = await self._engines.fetch_status(record.address)
        now = _clock.monotonic()
        admission = self._instance.admission
        if status is None:
            self._missed_reports[target] += 1
            missed = LoadReportMissed(target, self._missed_reports[target])
            self._instance.carry_out(admission.handle(missed, now))
            return
        self._missed_reports[target] = 0
        load = LoadReportReceived(target, status.load)
        self._instance.carry_out(admission.handle(load, now))
        await self._poll_cache_events(target, record.address)

    async def _poll_cache_events(self, target: str, address: str) -> None:
        after = self._cache_sequences.get(target, 0)
        events = await self._engines.fetch_cache_events(address, after)
        now = _clock.monotonic()
        for event in events:
            self._cache_sequences[target] = event.sequence
            received = CacheEventReceived(
                target, event.sequence, event.stored, event.evicted
            )
            self._instance.carry_out(self._instance.admission.handle(received, now))


def decode_target(entry: msgspec.Raw) -> Result[TargetRecord, DecodingError]:
    """Decode an entry of the list, or return why it names no target to use."""
    decoded = decode_json(_ENTRY, entry, _PlatformInstance)
    if isinstance(decoded, Failure):
        return Failure(decoded.failure())
    item: _PlatformInstance = decoded.unwrap()
    address = parse_address(f"{_ENTRY}.address", item["address"])
    if isinstance(address, Failure):
        return Failure(address.failure())
    record = TargetRecord(
        name=item["name"],
        service=item["service"],
        address=item["address"],
        failure_domain=item["failure_domain"],
        state=TargetState(item["state"]),
        cache_tokens=item["cache_tokens"],
    )
    return Success(record)
