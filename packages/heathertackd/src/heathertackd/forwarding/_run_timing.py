"""Times of the run of one request, and whether it can end within its deadline."""

from __future__ import annotations

from heathertack.policy import RunPace, RunPaceSample
from heathertackd.forwarding._request_spec import RequestSpec


class RunTiming:
    """Measures the run of one stream on its first target.

    Streams that resume an earlier one or move to another target are not measured.

    Parameters
    ----------
    pace : RunPace
        Paces of the latest runs on this instance.
    spec : RequestSpec
        The validated request.
    """

    def __init__(self, pace: RunPace, spec: RequestSpec) -> None:
        self._pace = pace
        self._spec = spec
        self._class_key = (spec.service, spec.route_name)
        self._sent_at = 0.0
        self._sent_count = 0
        self._first_event_at: float | None = None
        is_resumed = spec.head.last_event_id or spec.head.resumed_request_id
        self._starts_anew = spec.is_stream and not is_resumed

    def record_sent(self, now: float) -> None:
        """Record that the request is sent to a target."""
        self._sent_count += 1
        self._sent_at = now

    def record_first_event(self, now: float) -> None:
        """Record the first event of the response."""
        self._first_event_at = now

    def record_end(self, tokens: int, now: float) -> None:
        """Record that the response ended normally with a number of tokens."""
        size = self._spec.head.size
        first_at = self._first_event_at
        later_tokens = tokens - self._spec.event_tokens
        if (
            not self._starts_anew
            or self._sent_count != 1
            or first_at is None
            or size is None
            or size.prompt_tokens <= 0
            or later_tokens <= 0
        ):
            return
        sample = RunPaceSample(
            (first_at - self._sent_at) / size.prompt_tokens,
            (now - first_at) / later_tokens,
        )
        self._pace.observe(self._class_key, sample)

    def find_latest_start(self) -> float:
        """Return the time after which the run can't end in time, monotonic clock.

        It is the deadline less what the fastest of the latest runs would take. It says
        nothing of a run that has sent events or may go on where an earlier one ended.
        """
        spec = self._spec
        size = spec.head.size
        if size is None or not self._starts_anew or self._first_event_at is not None:
            return spec.deadline
        expected = min(size.expected_tokens, size.max_tokens)
        return spec.deadline - self._pace.shortest_run(
            self._class_key, size.prompt_tokens, expected
        )
