"""Bound on retries, so that a failing service is not pushed over."""

from __future__ import annotations


class RetryBudget:
    """Allows retries as a share of recent successes.

    Parameters
    ----------
    ratio : float
        Retries allowed for each success.
    reserve : float
        Most retries that can be saved up; also the number at the start.
    """

    def __init__(self, ratio: float = 0.2, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry if the budget has one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
