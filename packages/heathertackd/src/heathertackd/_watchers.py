"""Polls the platform's list of targets and the load of engines."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple, Protocol, TypedDict

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from heathertack.blackboard import BUNDLE, CONTROL, TARGETS
from heathertack.controllers import (
    CacheEventReceived,
    LoadReportMissed,
    LoadReportReceived,
    PlatformTargetsListed,
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


class _PlatformInstance(TypedDict):
    name: str
    service: str
    address: str
    failure_domain: str
    state: str
    cache_tokens: int


class _PlatformList(TypedDict):
    instances: list[_PlatformInstance]


class ListedTarget(NamedTuple):
    """A target as the platform lists it."""

    record: TargetRecord
    #: Version of its software, empty if the platform names none.
    version: str = ""


class TargetLister(Protocol):
    """Fetches the platform's list of targets."""

    async def fetch(self) -> Result[tuple[ListedTarget, ...], str]:
        """Return the whole list, or why it can't be read."""
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

    async def fetch(self) -> Result[tuple[ListedTarget, ...], str]:
        """Return the whole list, or why it can't be read."""
        timeout = aiohttp.ClientTimeout(total=_PLATFORM_TIMEOUT_SECONDS)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                body = await read_limited(response, _MAX_LIST_BYTES)
            listed = msgspec.json.decode(body, type=_PlatformList)
            return Success(
                tuple(ListedTarget(_describe_target(i)) for i in listed["instances"])
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Failure(repr(error))


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
        targets = tuple(
            target._replace(record=self._complete(target.record))
            for target in result.unwrap()
        )
        self._log_changes(targets)
        listed = PlatformTargetsListed(
            tuple(target.record for target in targets),
            {target.record.name: target.version for target in targets},
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

    def _log_changes(self, targets: tuple[ListedTarget, ...]) -> None:
        known = self._instance.board.read(TARGETS)
        for target, version in targets:
            before = known.get(target.name)
            if before is None or before.state is not target.state:
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
            watched = self._instance.admission.watched_targets
            await asyncio.gather(*(self._poll(target) for target in watched))
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


def _describe_target(item: _PlatformInstance) -> TargetRecord:
    is_live = item["state"] == "live"
    return TargetRecord(
        name=item["name"],
        service=item["service"],
        address=item["address"],
        failure_domain=item["failure_domain"],
        state=TargetState.LIVE if is_live else TargetState.LEAVING,
        cache_tokens=item["cache_tokens"],
    )
