"""Metrics of one instance."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from heathertack.policy import TargetSpeed

_MAX_LABELLED_ACCOUNTS = 100
_OTHER_ACCOUNTS_LABEL = "other"
_LATENCY_BUCKETS = (0.01, 0.02, 0.035, 0.052, 0.08, 0.12, 0.2, 0.4, 0.64)
_DELAY_BUCKETS = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
_WAIT_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 10.0, 30.0)


class Metrics:
    """Counters and histograms by client account and class.

    The first 100 client accounts have labels of their own; the others share one,
    so that the number of time series is bounded.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._accounts: set[str] = set()
        caller_labels = ("account", "class_name")
        self.first_token = Histogram(
            "heathertack_first_token_seconds",
            "Time from a request to its first token",
            caller_labels,
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self.token_gap = Histogram(
            "heathertack_token_gap_seconds",
            "Time between two events of a stream",
            caller_labels,
            buckets=(*_LATENCY_BUCKETS, 1.0, 2.0, 5.0),
            registry=self._registry,
        )
        self.stall = Histogram(
            "heathertack_stream_longest_gap_seconds",
            "Longest time within a stream without an event",
            caller_labels,
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self.queue_wait = Histogram(
            "heathertack_queue_wait_seconds",
            "Time from a request to the choice of its target",
            caller_labels,
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self.requests = Counter(
            "heathertack_requests",
            "Requests by their end",
            ("account", "class_name", "end"),
            registry=self._registry,
        )
        self.refusals = Counter(
            "heathertack_refusals",
            "Refused requests by reason",
            ("account", "code"),
            registry=self._registry,
        )
        self.admission_refusals = Counter(
            "heathertack_admission_refusals",
            "Requests that this instance refused as their admission owner, by reason",
            ("reason",),
            registry=self._registry,
        )
        self.brittle_targets = Gauge(
            "heathertack_brittle_targets",
            "Targets that bound the requests that they turn away",
            registry=self._registry,
        )
        self.cold_targets = Gauge(
            "heathertack_cold_targets",
            "Targets that handle few requests since they are cold",
            registry=self._registry,
        )
        self.evacuated_targets = Gauge(
            "heathertack_evacuated_targets",
            "Targets that run and get no requests since their domain is evacuated",
            registry=self._registry,
        )
        self.limited_targets = Gauge(
            "heathertack_limited_targets",
            "Targets that limit the rate of their requests",
            registry=self._registry,
        )
        self.evacuated_domains = Gauge(
            "heathertack_evacuated_domains",
            "Evacuated failure domains, on instances with a control log",
            registry=self._registry,
        )
        self.uneven_targets = Gauge(
            "heathertack_uneven_targets",
            "Targets of owned groups that are faster or slower than usual",
            registry=self._registry,
        )
        self.target_speed = Gauge(
            "heathertack_target_speed",
            "Speeds of the slowest and the fastest target of owned groups, 1 is usual",
            ("kind", "bound"),
            registry=self._registry,
        )
        self.dropped_events = Counter(
            "heathertack_dropped_events",
            "Events of engines that were not delivered",
            ("reason",),
            registry=self._registry,
        )
        self.resumes = Counter(
            "heathertack_resumes",
            "Streams that were resumed on another connection",
            registry=self._registry,
        )
        self.lost_copies = Counter(
            "heathertack_lost_copies",
            "Streams whose backup was lost while they waited for a target",
            ("state",),
            registry=self._registry,
        )
        self.target_losses = Counter(
            "heathertack_target_losses",
            "Generations that lost their target",
            registry=self._registry,
        )
        self.relayed_connections = Counter(
            "heathertack_relayed_connections",
            "Connections to targets that relays were asked for, by outcome",
            ("outcome",),
            registry=self._registry,
        )
        self.relay_requests = Counter(
            "heathertack_relay_requests",
            "Connections to targets that other instances asked for, by outcome",
            ("outcome",),
            registry=self._registry,
        )
        self.relaying_connections = Gauge(
            "heathertack_relaying_connections",
            "Connections that are forwarded for other instances",
            registry=self._registry,
        )
        self.loop_delay = Histogram(
            "heathertack_event_loop_delay_seconds",
            "Time by which periodic work on the event loop ran late",
            buckets=_DELAY_BUCKETS,
            registry=self._registry,
        )
        self.peer_messages = Counter(
            "heathertack_peer_messages",
            "Messages between instances",
            ("direction",),
            registry=self._registry,
        )
        self.peer_bytes = Counter(
            "heathertack_peer_bytes",
            "Bytes of messages between instances",
            ("direction",),
            registry=self._registry,
        )
        self.task_failures = Counter(
            "heathertack_task_failures",
            "Failed steps of background work",
            ("task",),
            registry=self._registry,
        )
        self.held_bytes = Gauge(
            "heathertack_held_bytes",
            "Memory held for callers, operators and other instances",
            registry=self._registry,
        )
        self.held_descriptors = Gauge(
            "heathertack_held_descriptors",
            "Descriptors held for callers, operators and other instances",
            registry=self._registry,
        )
        self.closed_holders = Counter(
            "heathertack_closed_holders",
            "Connections closed because all together held too much, by what",
            ("reason",),
            registry=self._registry,
        )
        self.unreadable_requests = Counter(
            "heathertack_unreadable_requests",
            "Connections on which bytes arrived that are no request",
            registry=self._registry,
        )
        self.refused_documents = Counter(
            "heathertack_refused_documents",
            "Documents of operators refused since others are being applied",
            registry=self._registry,
        )
        self.cut_prefixes = Counter(
            "heathertack_cut_prefixes",
            "Requests that name longer prompts than are compared with caches",
            registry=self._registry,
        )
        self.open_requests = Gauge(
            "heathertack_open_requests",
            "Requests in progress",
            registry=self._registry,
        )

    def account_label(self, account: str) -> str:
        """Return the label of a client account."""
        if account in self._accounts:
            return account
        if len(self._accounts) < _MAX_LABELLED_ACCOUNTS:
            self._accounts.add(account)
            return account
        return _OTHER_ACCOUNTS_LABEL

    def record_speeds(self, speeds: Iterable[TargetSpeed]) -> None:
        """Set the metrics of the targets that are faster or slower than usual."""
        uneven = tuple(speeds)
        self.uneven_targets.set(len(uneven))
        for kind in ("prompt", "step"):
            # Targets of the usual speed are not listed.
            values = (1.0, *(getattr(speed, kind) for speed in uneven))
            self.target_speed.labels(kind, "slowest").set(min(values))
            self.target_speed.labels(kind, "fastest").set(max(values))

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
