"""Limit on retries, so that they do not overload a failing service."""

from __future__ import annotations


class RetryBudget:
    """Token bucket that allows retries in proportion to successes.

    Parameters
    ----------
    ratio : float
        Number of retries allowed for each success.
    reserve : float
        Maximum number of retries that can accumulate; also the initial number.
    """

    def __init__(self, ratio: float = 0.2, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def set_reserve(self, reserve: float) -> None:
        """Change how many retries can accumulate; a surplus is lost."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def record_success(self) -> None:
        """Add the ratio of one success to the budget."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget, and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
