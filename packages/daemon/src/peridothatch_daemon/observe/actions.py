"""Actions of the structured log, which may continue in another process."""

from __future__ import annotations

import contextlib
import typing

import eliot

if typing.TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def begin(action_type: str, **fields: typing.Any) -> Iterator[eliot.Action]:
    """Log the start and the end of an action."""
    with eliot.start_action(action_type=action_type, **fields) as action:
        yield action


def serialize(action: eliot.Action) -> str:
    """Return the id with which another process continues the action."""
    return action.serialize_task_id().decode()


@contextlib.contextmanager
def resume(task_id: str, action_type: str, **fields: typing.Any) -> Iterator[eliot.Action]:
    """Continue an action of another process; start a new action if the id is invalid."""
    try:
        action = eliot.Action.continue_task(task_id=task_id, action_type=action_type, **fields)
    except ValueError:
        action = eliot.start_action(action_type=action_type, **fields)
    with action:
        yield action
