"""Numbers that admission is tuned with."""

from typing import NamedTuple


class AdmissionTuning(NamedTuple):
    """Parameters of admission."""

    #: Quantile of the remaining length that is reserved at first.
    quantile: float = 0.5
    #: Least and greatest quantile that preemptions may lead to.
    quantile_bounds: tuple[float, float] = (0.3, 0.8)
    #: Change of the quantile after a preemption, and its decay per second.
    quantile_step: float = 0.05
    quantile_decay: float = 0.002
    #: Part of the cache that the projected peak may fill.
    cache_limit: float = 0.98
    #: The same for large requests, so that small ones need not wait for them.
    large_cache_limit: float = 0.97
    #: Part of the cache from which on a request is large.
    large_request_fraction: float = 0.02
    #: Part of the cache that the projected peak may fill with a further copy of
    #: a generation of another target.
    backup_limit: float = 0.85
    #: Part of all caches that runs may fill while further copies are made. A copy
    #: doubles what a run takes, and can't be taken back at once.
    backup_load_limit: float = 0.25
    #: Time without a request that waits for memory after which copies are made,
    #: seconds: longer than most streams last, so that memory is free again when a
    #: burst returns.
    backup_quiet_period: float = 10.0
    #: Added to the part of a cache that is filled when a copy would have to cross
    #: failure domains, which takes twice as long.
    cross_domain_penalty: float = 0.2
    #: Prompt tokens that may wait for their first token on one target, unless
    #: it is a single prompt.
    prefill_budget: int = 512
    #: Most generations on one target.
    batch_limit: int = 256
    #: Requests behind a head that does not fit which are looked at.
    look_ahead: int = 8
    #: Age from which nobody may pass a head that does not fit, seconds.
    head_age_limit: float = 6.0
    #: Targets whose projected peak is computed for one request.
    max_scored_targets: int = 4
    #: Weight of one run beside the filled part of the cache: each one slows the
    #: others, and is lost with them.
    run_weight: float = 0.02
    #: Weight of saved prompt tokens beside cached tokens in the choice.
    prefix_weight: float = 2.0
    #: Life of a reservation without news, seconds.
    reservation_timeout: float = 4.0
    #: Wait of a new owner for announcements, seconds.
    takeover_delay: float = 0.6
    #: Most requests that wait in one group.
    queue_limit: int = 512
    #: Span over which the rate of admissions is measured, seconds.
    rate_window: float = 10.0
    #: Bounds of the time after which a refused caller may come back, seconds.
    retry_after_bounds: tuple[float, float] = (1.0, 60.0)


#: Parameters that the daemon uses.
ADMISSION_TUNING = AdmissionTuning()
