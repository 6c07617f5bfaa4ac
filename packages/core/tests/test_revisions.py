"""Guards against a configuration that reverts, skips a change or waits for a gap forever."""

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.configure import revisions
from peridothatch_core.model import config, customer

COUNT = 12
CHANGES = [
    config.Change(n, "customer", f"c{n % 3}", customer.Customer(f"c{n % 3}", n), "op", 0.0)
    for n in range(1, COUNT + 1)
]
DELIVERIES = strategies.lists(strategies.integers(0, COUNT - 1), max_size=40)
SETTINGS = hypothesis.settings(max_examples=300, derandomize=True, deadline=None)


def snapshot_at(revision):
    snapshot = config.Snapshot()
    for change in CHANGES[:revision]:
        snapshot = revisions.apply_change(snapshot, change)
    return snapshot


@SETTINGS
@hypothesis.given(DELIVERIES, strategies.integers(0, COUNT))
def test_the_revision_only_increases_for_any_order_and_duplicates(deliveries, loaded_again):
    """Guards against late, repeated or early changes and late reads that take effect."""
    state = revisions.Replica()
    revisions.step(state, revisions.Loaded(config.Snapshot()), 0.0)
    events = [revisions.Received((CHANGES[index],)) for index in deliveries]
    events.insert(len(events) // 2, revisions.Loaded(snapshot_at(loaded_again)))
    for event in events:
        before = state.snapshot.revision
        effects = revisions.step(state, event, 0.0)
        assert state.snapshot.revision >= before
        assert state.snapshot == snapshot_at(state.snapshot.revision)
        in_force = [item for item in effects if isinstance(item, revisions.SnapshotUpdated)]
        assert bool(in_force) == (state.snapshot.revision > before)
        missing = [item for item in effects if isinstance(item, revisions.ChangesMissing)]
        if isinstance(event, revisions.Received) and state.pending:
            assert missing[-1].after == state.snapshot.revision
    revisions.step(state, revisions.Received(tuple(CHANGES)), 0.0)
    assert state.snapshot == snapshot_at(COUNT)
    assert not state.pending


def test_a_newer_head_revision_requests_the_missing_changes():
    """Guards against a replica that never requests missing changes."""
    state = revisions.Replica()
    assert revisions.step(state, revisions.HeadSeen(3), 0.0) == []
    revisions.step(state, revisions.Loaded(config.Snapshot()), 0.0)
    assert revisions.step(state, revisions.HeadSeen(3), 0.0) == [revisions.ChangesMissing(0, 3)]
    revisions.step(state, revisions.Received(tuple(CHANGES[:3])), 0.0)
    assert revisions.step(state, revisions.HeadSeen(3), 0.0) == []


@SETTINGS
@hypothesis.given(strategies.integers(0, COUNT), strategies.integers(0, COUNT))
def test_recent_changes_have_no_gap(loaded_at, wanted_after):
    """Guards against an answer to another entry that lacks a change."""
    state = revisions.Replica()
    revisions.step(state, revisions.Loaded(config.Snapshot()), 0.0)
    revisions.step(state, revisions.Received(tuple(CHANGES[: loaded_at // 2])), 0.0)
    revisions.step(state, revisions.Loaded(snapshot_at(loaded_at)), 0.0)
    revisions.step(state, revisions.Received(tuple(CHANGES)), 0.0)
    found = revisions.changes_after(state, wanted_after)
    if loaded_at == 0 or wanted_after >= loaded_at:
        assert found == tuple(CHANGES[wanted_after:])
    else:
        assert found is None


def test_a_new_operator_token_replaces_the_old_one():
    """Guards against a replaced token that is still accepted."""
    snapshot = config.Snapshot()
    for revision, digest in enumerate(("a", "b", None), 1):
        change = config.Change(revision, "operator", "ama", digest, "op", 0.0)
        snapshot = revisions.apply_change(snapshot, change)
        assert dict(snapshot.operator_tokens) == ({digest: "ama"} if digest else {})


def test_a_change_out_of_order_is_not_applied():
    """Guards against a snapshot that lacks a change."""
    with pytest.raises(ValueError, match="expected 1"):
        revisions.apply_change(config.Snapshot(), CHANGES[1])
