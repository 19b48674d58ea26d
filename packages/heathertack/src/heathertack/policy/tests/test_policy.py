import pytest
from hypothesis import given, strategies as st

from heathertack.policy import (
    FairQueue,
    LedgerEntry,
    LengthEstimator,
    PrefixIndex,
    QueuedItem,
    RetryBudget,
    TargetLedger,
    choose_owner,
    digest_prefixes,
    group_targets,
    projected_peak,
)

ENTRIES = st.lists(
    st.builds(LedgerEntry, st.integers(0, 500), st.integers(1, 80)), max_size=8
)


class TestProjectedPeak:
    @given(ENTRIES)
    def test_equals_the_peak_of_a_step_by_step_run(
        self, entries: list[LedgerEntry]
    ) -> None:
        uses = [
            sum(e.cached + step for e in entries if e.remaining >= step)
            for step in range(1, 81)
        ]
        assert projected_peak(entries) == max(uses, default=0)


class TestLengthEstimator:
    def predict(
        self, estimator: LengthEstimator, generated_tokens: int, quantile: float
    ) -> int:
        return estimator.predict_remaining(
            "s",
            "a",
            "c",
            generated_tokens=generated_tokens,
            limit=10_000,
            quantile=quantile,
        )

    def test_learns_lengths_of_an_account(self) -> None:
        estimator = LengthEstimator()
        for length in [100] * 50 + [1000] * 50:
            estimator.observe("s", "a", "c", length)
        assert 80 <= self.predict(estimator, 0, 0.3) <= 130
        assert 800 <= self.predict(estimator, 0, 0.8) <= 1300

    def test_long_answer_is_expected_to_go_on(self) -> None:
        estimator = LengthEstimator()
        for length in [100] * 50 + [1000] * 50:
            estimator.observe("s", "a", "c", length)
        assert self.predict(estimator, 200, 0.3) > 500

    @given(
        st.lists(st.integers(1, 100_000), max_size=30),
        st.integers(0, 20_000),
        st.floats(0.01, 0.99),
    )
    def test_stays_within_bounds(
        self, lengths: list[int], generated_tokens: int, quantile: float
    ) -> None:
        estimator = LengthEstimator()
        for length in lengths:
            estimator.observe("s", "a", "c", length)
        remaining = self.predict(estimator, generated_tokens, quantile)
        assert 1 <= remaining <= max(10_000 - generated_tokens, 1)


class TestFairQueue:
    def test_charges_by_share(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for account, share in (("a", 1.0), ("b", 4.0)):
            queue.add(QueuedItem(account, account, 1, share, 0.0, account))
            queue.charge(account, share, 100.0)
        assert [item.key for item in queue.ordered(0.0)] == ["b", "a"]

    def test_idling_saves_up_nothing(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.add(QueuedItem("a", "a", 1, 1.0, 0.0, ""))
        queue.charge("a", 1.0, 1000.0)
        list(queue.ordered(0.0))
        queue.add(QueuedItem("b", "b", 1, 1.0, 1.0, ""))
        queue.charge("b", 1.0, 1.0)
        assert [item.key for item in queue.ordered(0.0)] == ["a", "b"]

    def test_forgets_idle_accounts(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for number in range(100):
            queue.charge(f"a{number}", 1.0, 1.0)
        queue.add(QueuedItem("x", "x", 1, 1.0, 0.0, ""))
        queue.charge("x", 1.0, 5.0)
        list(queue.ordered(0.0))
        queue.evict_idle_accounts()
        assert len(queue._charged) == 1


class TestPrefixIndex:
    def test_counts_leading_blocks_only(self) -> None:
        index = PrefixIndex()
        index.apply_event(1, (1, 2, 4), ())
        assert index.saved_tokens((1, 2, 3, 4)) == 128

    @pytest.mark.parametrize(
        ("sequence", "saved"), [(2, 64), (1, 64), (3, 0)], ids=["next", "old", "gap"]
    )
    def test_gap_in_the_events_empties_it(self, sequence: int, saved: int) -> None:
        index = PrefixIndex()
        index.apply_event(1, (1,), ())
        index.apply_event(sequence, (9,), ())
        assert index.saved_tokens((1,)) == saved

    def test_shared_prefix_has_equal_digests(self) -> None:
        first = digest_prefixes("x" * 600 + "a" * 300)
        second = digest_prefixes("x" * 600 + "b" * 300)
        assert first[:2] == second[:2]
        assert first[2] != second[2]


class TestRendezvous:
    def test_only_groups_of_a_lost_instance_move(self) -> None:
        names = [f"entry-{i}" for i in range(10)]
        groups = [f"g{i}" for i in range(200)]
        before = {g: choose_owner(g, names) for g in groups}
        after = {g: choose_owner(g, names[1:]) for g in groups}
        moved = {g for g in groups if before[g] != after[g]}
        assert moved == {g for g in groups if before[g] == "entry-0"}
        assert len(set(before.values())) == 10

    @pytest.mark.parametrize(("count", "groups"), [(0, 1), (5, 1), (64, 1), (240, 4)])
    def test_every_target_is_in_one_group(self, count: int, groups: int) -> None:
        names = [f"e{i}" for i in range(count)]
        divided = group_targets("tutor", names)
        assert len(divided) == groups
        assert sorted(n for members in divided.values() for n in members) == sorted(
            names
        )


class TestRetryBudget:
    def test_allows_a_share_of_successes(self) -> None:
        budget = RetryBudget(ratio=0.5, reserve=2.0)
        assert [budget.try_spend() for _ in range(3)] == [True, True, False]
        budget.record_success()
        budget.record_success()
        assert [budget.try_spend() for _ in range(2)] == [True, False]


class TestReportedUse:
    """Load pattern: generations end faster than reports tell of it."""

    def test_generations_that_ended_since_the_report_are_not_foreign(self) -> None:
        ledger = TargetLedger(10_000)
        for number in range(3):
            ledger.reserve(f"g{number}", LedgerEntry(3000, 10), started=True)
        for number in range(3):
            ledger.release(f"g{number}")
        ledger.record_reported_usage(9000, 0)
        assert ledger.cached == 0

    def test_what_no_reservation_ever_explained_is_foreign(self) -> None:
        ledger = TargetLedger(10_000)
        ledger.reserve("g", LedgerEntry(3000, 10), started=True)
        ledger.record_reported_usage(9000, 0)
        assert ledger.cached == 9000

    def test_reservations_of_long_ago_explain_nothing(self) -> None:
        ledger = TargetLedger(10_000)
        ledger.reserve("g", LedgerEntry(3000, 10), started=True)
        ledger.release("g")
        for _ in range(4):
            ledger.record_reported_usage(3000, 0)
        assert ledger.cached == 3000
