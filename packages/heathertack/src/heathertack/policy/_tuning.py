"""Tuning parameters of admission."""

from typing import NamedTuple


class AdmissionTuning(NamedTuple):
    """Parameters of admission."""

    #: Initial quantile of the remaining length for which memory is reserved.
    quantile: float = 0.5
    #: Lower and upper bound of the quantile.
    quantile_bounds: tuple[float, float] = (0.3, 0.8)
    #: Increase of the quantile per preemption, and its decay per second.
    quantile_step: float = 0.05
    quantile_decay: float = 0.002
    #: Fraction of the cache that the projected peak may fill.
    cache_limit: float = 0.98
    #: The same limit for large requests. It is lower, which keeps room for small
    #: requests so that they need not wait for large ones.
    large_cache_limit: float = 0.97
    #: Fraction of the cache above which a request counts as large.
    large_request_fraction: float = 0.02
    #: Fraction of the cache that the projected peak may fill when a backup of a
    #: generation of another target is added.
    backup_limit: float = 0.85
    #: Fraction of all caches that running generations may fill while further backups
    #: are created. A backup doubles the memory of a generation and can't be reclaimed
    #: at once.
    backup_load_limit: float = 0.25
    #: Time without a request waiting for memory after which backups are created,
    #: seconds. Longer than most streams last, so that their memory is free again when
    #: the next burst arrives.
    backup_quiet_period: float = 10.0
    #: Added to the filled fraction of a cache if a KV cache would have to be copied
    #: across failure domains, which takes twice as long.
    cross_domain_penalty: float = 0.2
    #: The same for a run that moves, with control of overload. It exceeds any
    #: difference in load: the runs of a reclaimed target share its link, and those
    #: that still wait when it stops are lost.
    move_cross_domain_penalty: float = 2.0
    #: Number of prompt tokens that may wait for prefill on one target. A single prompt
    #: may exceed it.
    prefill_budget: int = 512
    #: Maximum number of generations on one target.
    batch_limit: int = 256
    #: Number of requests that are considered behind a head of the queue that does not
    #: fit.
    look_ahead: int = 8
    #: Age from which no request may overtake a head of the queue that does not fit,
    #: seconds.
    head_age_limit: float = 6.0
    #: Maximum number of targets whose score is computed for one request.
    max_scored_targets: int = 4
    #: Weight of one running generation relative to the filled fraction of the cache.
    #: Each generation slows the others on its target, and all are lost if it fails.
    run_weight: float = 0.02
    #: Whether targets are chosen by their speeds where these differ.
    compares_speeds: bool = True
    #: Weight of saved prompt tokens relative to cached tokens in target scores.
    prefix_weight: float = 2.0
    #: Time after which a reservation without progress reports expires, seconds.
    reservation_timeout: float = 4.0
    #: Time for which a new owner collects announcements before it grants requests,
    #: seconds.
    takeover_delay: float = 0.6
    #: Maximum number of queued requests in one group.
    queue_limit: int = 512
    #: Window over which the rate of grants is measured, seconds.
    rate_window: float = 10.0
    #: Whether requests that can't start in time are refused before their wait is over,
    #: long requests leave room for brief ones, and runs move before new requests start
    #: and within their failure domain.
    controls_overload: bool = False
    #: Bounds of the retry delay that is sent with a refusal, seconds.
    retry_after_bounds: tuple[float, float] = (1.0, 60.0)


#: Default parameters of the daemon.
ADMISSION_TUNING = AdmissionTuning()
