"""Guards against partial or repeated transactions and against lost outcomes."""

import hypothesis
from hypothesis import strategies

from peridothatch_standins import rows

KEYS = strategies.sampled_from(["a", "b", "c"])
CONDITIONS = strategies.one_of(
    strategies.builds(rows.Condition, KEYS, strategies.integers(0, 3)),
    strategies.builds(
        rows.Condition, KEYS, field=strategies.just("x"), equals=strategies.integers(0, 2)
    ),
)
WRITES = strategies.builds(
    rows.Write,
    KEYS,
    strategies.one_of(
        strategies.none(), strategies.fixed_dictionaries({"x": strategies.integers(0, 2)})
    ),
)
TRANSACTIONS = strategies.builds(
    rows.Transaction,
    strategies.sampled_from([str(number) for number in range(8)]),
    strategies.lists(CONDITIONS, max_size=2).map(tuple),
    strategies.lists(WRITES, max_size=3, unique_by=lambda write: write.key).map(tuple),
)
SETTINGS = hypothesis.settings(max_examples=300, derandomize=True, deadline=None)


@SETTINGS
@hypothesis.given(strategies.lists(TRANSACTIONS, max_size=20))
def test_transactions_apply_whole_once_and_with_one_outcome(transactions):
    """A repeated id must not be applied again, and a conflict must not leave any writes."""
    table = rows.Table()
    outcomes = {}
    for transaction in transactions:
        before, versions = dict(table.rows), dict(table.versions)
        outcome = rows.transact(table, transaction, 0.0)
        if transaction.id in outcomes:
            assert outcome == outcomes[transaction.id]
            assert dict(table.rows) == before
        elif not outcome.applied:
            assert dict(table.rows) == before
            assert table.versions == versions
        else:
            for write in transaction.writes:
                assert table.versions[write.key] == versions.get(write.key, 0) + 1
                row = table.rows.get(write.key)
                assert (row.value if row else None) == write.value
        outcomes.setdefault(transaction.id, outcome)


def test_an_id_is_forgotten_only_after_the_documented_time():
    """Guards against a retry within the ten-minute retention period that is applied twice."""
    table = rows.Table()
    transaction = rows.Transaction("t", (), (rows.Write("k", {"x": 1}),))
    rows.transact(table, transaction, 0.0)
    assert rows.transact(table, transaction, rows.OUTCOME_RETENTION_SECONDS - 1).versions == {
        "k": 1
    }
    assert rows.transact(table, transaction, rows.OUTCOME_RETENTION_SECONDS).versions == {"k": 2}


def test_a_prefix_read_returns_exactly_the_keys_below_it():
    """Guards against keys in the result that sort next to the prefix but do not start with it."""
    table = rows.Table()
    keys = ("a/", "a/1", "a0", "b", "a/2")
    writes = tuple(rows.Write(key, {}) for key in keys)
    rows.transact(table, rows.Transaction("t", (), writes), 0.0)
    assert sorted(rows.read(table, rows.Read((), ("a/",)))) == ["a/", "a/1", "a/2"]
