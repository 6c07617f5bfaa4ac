"""Requests to the store of calls that wait for it."""

import asyncio

import pytest

from peridothatch_core.message import rows
from peridothatch_core.model import desired, verdict
from peridothatch_core.reception import admission, calls
from peridothatch_daemon.hosted import clock, stored_calls
from peridothatch_wire import mailbox

PATH = "/jobs/00000000000000aa"
QUEUE = desired.Queue("q", "a.example", "/jobs/", "render", 1, 2, 2.0, 500, False, False)
CALL = calls.Call(calls.Action.SUBMIT, "a.example", PATH, "k1", None, 3.0)


def _state(keys, age_seconds=0.0):
    state = stored_calls.State(
        5.0, mailbox.create("store"), mailbox.create("reception"), lambda _: None
    )
    tenancy = desired.Tenancy("ministry", frozenset(keys), 0)
    state.desired = desired.DesiredState(4, (QUEUE,), (), (tenancy,))
    state.desired_at = clock.now() - age_seconds
    return state


def _pending():
    now = clock.now()
    admitted = admission.Admitted(QUEUE, "ministry", PATH.removeprefix("/jobs/"))
    reply = mailbox.Reply()
    return stored_calls.Pending(CALL, admitted, reply, rows.Transaction(), now + 60, now + 60, now)


async def _answer(pending):
    return await asyncio.wait_for(mailbox.wait(pending.reply, 1), 2)


async def test_a_call_whose_key_is_valid_is_committed():
    state = _state(["k1"])
    stored_calls.send(state, _pending())
    assert state.store.depth == 1


@pytest.mark.parametrize(
    ("keys", "age_seconds", "code"),
    [([], 0.0, verdict.Code.UNAUTHORIZED), (["k1"], 60.0, verdict.Code.STORE_UNAVAILABLE)],
)
async def test_a_call_is_not_committed_once_its_key_is_revoked_or_cannot_be_checked(
    keys, age_seconds, code
):
    # The key was checked when the call arrived, and the commit was repeated later: an entry that
    # had been paused meanwhile acted on an authorisation that had been withdrawn.
    state, pending = _state(keys, age_seconds), _pending()
    stored_calls.send(state, pending)
    assert state.store.depth == 0
    refusal = await _answer(pending)
    assert (refusal.code, refusal.verdict) == (code, verdict.Verdict.NOT_RUN)


async def test_a_revoked_key_does_not_hide_an_earlier_commit_with_an_unknown_outcome():
    state, pending = _state([]), _pending()
    pending.outcome_unknown = True
    stored_calls.send(state, pending)
    assert (await _answer(pending)).verdict is verdict.Verdict.MAY_HAVE_RUN
