"""RECOVER while instances are partitioned from all targets."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from heathertack_fakes.rules._records import ClientAttempt, TargetCut, Violation

_MIN_SUCCESS_STATUS = 200
_MAX_SUCCESS_STATUS = 299
#: Status of an answer that accepts work for later.
_ACCEPTED = 202
#: An instance that is cut must serve at least this share of what others serve, as
#: numerator and denominator.
_MIN_SHARE = (2, 3)
#: Number of failures that break no rule, and the share of all first tries beyond it, as
#: its denominator.
_ALLOWED_FAILURES = 10
_ALLOWED_FAILURE_SHARE = 50


def find_unserved_at_cut_instances(
    attempts: Iterable[ClientAttempt],
    cuts: Sequence[TargetCut],
    stability_window: float,
) -> tuple[Violation, ...]:
    """Return the cuts during which too few first tries were served.

    While some instances are partitioned from all targets, from the stability window
    after the cut began, first tries at these instances are served less than two thirds
    as often as those at the others, and more than 10 and a fiftieth of all first tries
    fail there. A connection that is refused, or closed with its request unread, is an
    attempt that failed. Work that is accepted for later does not count.

    Parameters
    ----------
    attempts : iterable of ClientAttempt
        Client attempts, those included whose connection was refused.
    cuts : sequence of TargetCut
        Which instances were partitioned from all targets, and when.
    stability_window : float
        Time after the beginning of a cut for which nothing is asked, seconds.

    References
    ----------
    The users' additions to their rules, RECOVER.
    """
    counted = [a for a in attempts if _is_counted(a)]
    found = (_check_cut(cut, counted, cuts, stability_window) for cut in cuts)
    return tuple(violation for violation in found if violation is not None)


def _is_counted(attempt: ClientAttempt) -> bool:
    is_for_later = attempt.status == _ACCEPTED and attempt.is_whole
    return attempt.is_first_try and attempt.is_in_touch and not is_for_later


def _check_cut(
    cut: TargetCut,
    attempts: Sequence[ClientAttempt],
    cuts: Sequence[TargetCut],
    stability_window: float,
) -> Violation | None:
    begin = cut.began_at + stability_window
    during = [a for a in attempts if begin <= a.sent_at < cut.ended_at]
    at_cut = [a for a in during if a.instance in cut.instances]
    elsewhere = [a for a in during if not any(_is_cut(a, other) for other in cuts)]
    served = sum(_is_served(a) for a in at_cut)
    served_elsewhere = sum(_is_served(a) for a in elsewhere)
    numerator, denominator = _MIN_SHARE
    expected = numerator * served_elsewhere * len(at_cut)
    is_served_less = denominator * served * len(elsewhere) < expected
    failed = len(at_cut) - served
    excess = failed - _ALLOWED_FAILURES
    if not is_served_less or excess * _ALLOWED_FAILURE_SHARE <= len(during):
        return None
    detail = (
        f"served {served} of {len(at_cut)} first tries at "
        f"{', '.join(sorted(cut.instances))}, "
        f"{served_elsewhere} of {len(elsewhere)} at the others"
    )
    return Violation("RECOVER", "", detail)


def _is_cut(attempt: ClientAttempt, cut: TargetCut) -> bool:
    is_during = cut.began_at <= attempt.sent_at < cut.ended_at
    return is_during and attempt.instance in cut.instances


def _is_served(attempt: ClientAttempt) -> bool:
    is_success = _MIN_SUCCESS_STATUS <= attempt.status <= _MAX_SUCCESS_STATUS
    return is_success and attempt.is_whole
