"""Remembers which software version began a stream that callers may resume.

A caller may resume a stream at any instance, also after the one that began it was
killed. The origin of each stream is therefore sent to several instances, chosen by the
hash of the stream, and asked for there.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    CONTROL,
    LEASE,
    MEMBERS,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    Section,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._software_versions import list_versions
from heathertack.messages import (
    MemberState,
    StreamOrigin,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOrigins,
)
from heathertack.policy import rank_instances

#: Number of instances that remember a stream: all of them have to fail for its origin
#: to be lost.
_KEEPERS = 3
#: Number of instances that are asked, beside the leader. More than remember it, since
#: the ranking shifts when instances fail.
_ASKED = 5
_REPLY_TIMEOUT_SECONDS = 0.3
#: Time for which an origin is remembered, seconds; longer than callers wait.
_RETENTION_SECONDS = 120.0
#: Interval at which the origins of open streams are sent again, to instances that were
#: restarted or have taken the place of others, seconds.
_REFRESH_SECONDS = 5.0
#: Maximum number of remembered origins; the oldest are evicted.
_MAX_ORIGINS = 8192


class StreamBegan(NamedTuple):
    """The first event of a stream was delivered to its caller."""

    origin: StreamOrigin


class StreamEnded(NamedTuple):
    """A stream is no longer delivered; its caller may resume it."""

    stream: str


class OriginNeeded(NamedTuple):
    """A caller resumes a stream at this instance."""

    stream: str
    service: str


class OriginsReceived(NamedTuple):
    """An instance asked this one to remember origins."""

    origins: StreamOrigins


class OriginQueryReceived(NamedTuple):
    """An instance asked for the origin of a stream."""

    instance: str
    query: StreamOriginQuery


class OriginReplyReceived(NamedTuple):
    """An instance answered a query."""

    instance: str
    reply: StreamOriginReply


class OriginsDue(NamedTuple):
    """The clock advanced."""


Event = (
    StreamBegan
    | StreamEnded
    | OriginNeeded
    | OriginsReceived
    | OriginQueryReceived
    | OriginReplyReceived
    | OriginsDue
)


class OriginDetermined(NamedTuple):
    """The search for the origin of a stream has ended."""

    stream: str
    #: ``None`` if no instance that replied remembers the stream.
    version: str | None
    #: How it was determined, for operators.
    reason: str


Action = SendToPeer | OriginDetermined


class _Remembered(NamedTuple):
    version: str
    expires_at: float


class _Search(NamedTuple):
    """Replies to the queries about one stream."""

    deadline: float
    asked: frozenset[str]
    without_record: frozenset[str] = frozenset()


class StreamOriginController:
    """Remembers origins for other instances, and finds those of resumed streams.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (
        CONTROL,
        LEASE,
        MEMBERS,
        TARGETS,
        TARGET_VERSIONS,
    )
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(self, board: Blackboard, instance: str) -> None:
        self._board = board
        self._instance = instance
        self._remembered: OrderedDict[str, _Remembered] = OrderedDict()
        self._open: dict[str, StreamOrigin] = {}
        self._searches: dict[str, _Search] = {}
        self._next_refresh = 0.0
        board.register(self)

    @property
    def remembered_count(self) -> int:
        """Number of remembered origins."""
        return len(self._remembered)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Messages to instances, and the origins of resumed streams.
        """
        match event:
            case StreamBegan():
                self._open[event.origin.stream] = event.origin
                return self._send_origins((event.origin,))
            case StreamEnded():
                self._open.pop(event.stream, None)
                return ()
            case OriginNeeded():
                return self._search(event, now)
            case OriginsReceived():
                self._remember(event.origins, now)
                return ()
            case OriginQueryReceived():
                return (self._answer(event, now),)
            case OriginReplyReceived():
                return self._handle_reply(event, now)
            case OriginsDue():
                return self._tick(now)
            case _:
                assert_never(event)

    def _send_origins(self, origins: tuple[StreamOrigin, ...]) -> tuple[Action, ...]:
        by_instance: dict[str, list[StreamOrigin]] = {}
        members = self._list_members(MemberState.ALIVE)
        for origin in origins:
            for instance in rank_instances(origin.stream, members)[:_KEEPERS]:
                by_instance.setdefault(instance, []).append(origin)
        return tuple(
            SendToPeer(instance, StreamOrigins(tuple(sent)))
            for instance, sent in by_instance.items()
        )

    def _list_members(self, *states: MemberState) -> dict[str, str]:
        """Return the failure domains of the members in the given states."""
        members = self._board.read(MEMBERS).values()
        found = {m.instance: m.failure_domain for m in members if m.state in states}
        return found or {self._instance: ""}

    def _remember(self, origins: StreamOrigins, now: float) -> None:
        for origin in origins.origins:
            self._remembered.pop(origin.stream, None)
            self._remembered[origin.stream] = _Remembered(
                origin.version, now + _RETENTION_SECONDS
            )
        while len(self._remembered) > _MAX_ORIGINS:
            self._remembered.popitem(last=False)

    def _answer(self, event: OriginQueryReceived, now: float) -> SendToPeer:
        remembered = self._remembered.get(event.query.stream)
        is_known = remembered is not None and now < remembered.expires_at
        service = event.query.service
        versions = list_versions(self._board, service) - {None}
        version = remembered.version if remembered is not None and is_known else None
        reply = StreamOriginReply(
            event.query.stream,
            version if version is not None else self._infer_version(service, now),
            tuple(sorted(version for version in versions if version is not None)),
        )
        return SendToPeer(event.instance, reply)

    def _infer_version(self, service: str, now: float) -> str | None:
        """Return the only version that can have begun a stream, if there is one.

        The leader's log outlives all processes and names every version that targets
        of the service had for longer than any stream lasts.
        """
        control = self._board.read(CONTROL)
        listed = list_versions(self._board, service)
        if not control.may_lead(now) or None in listed or not listed:
            return None
        recorded = {version for name, version in control.versions if name == service}
        if len(recorded) != 1 or not listed <= recorded:
            return None
        return next(iter(recorded))

    def _search(self, event: OriginNeeded, now: float) -> tuple[Action, ...]:
        members = self._list_members(MemberState.ALIVE, MemberState.LEAVING)
        leader = self._board.read(LEASE).leader
        ranked = rank_instances(event.stream, members)[:_ASKED]
        asked = dict.fromkeys((*ranked, leader) if leader else ranked)
        deadline = now + _REPLY_TIMEOUT_SECONDS
        search = _Search(deadline, frozenset(asked))
        self._searches[event.stream] = search
        query = StreamOriginQuery(event.stream, event.service)
        return tuple(SendToPeer(instance, query) for instance in asked)

    def _handle_reply(
        self, event: OriginReplyReceived, now: float
    ) -> tuple[Action, ...]:
        reply = event.reply
        search = self._searches.get(reply.stream)
        if search is None or event.instance not in search.asked:
            return ()
        if reply.version is not None:
            del self._searches[reply.stream]
            reason = f"remembered by {event.instance}"
            return (OriginDetermined(reply.stream, reply.version, reason),)
        search = search._replace(
            without_record=search.without_record | {event.instance}
        )
        self._searches[reply.stream] = search
        if search.without_record == search.asked:
            return self._conclude(reply.stream, search)
        return ()

    def _tick(self, now: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for stream, search in tuple(self._searches.items()):
            if now >= search.deadline:
                actions.extend(self._conclude(stream, search))
        while self._remembered:
            stream, remembered = next(iter(self._remembered.items()))
            if now < remembered.expires_at:
                break
            del self._remembered[stream]
        if now >= self._next_refresh:
            self._next_refresh = now + _REFRESH_SECONDS
            actions.extend(self._send_origins(tuple(self._open.values())))
        return tuple(actions)

    def _conclude(self, stream: str, search: _Search) -> tuple[Action, ...]:
        """End a search without a record.

        The origin stays unknown even if the targets of the service now have one version
        only: those of the version that began the stream may have left.
        """
        del self._searches[stream]
        replies = len(search.without_record)
        reason = f"{replies} of {len(search.asked)} instances have no record"
        return (OriginDetermined(stream, None, reason),)
