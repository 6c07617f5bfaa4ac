import json

import pytest

from peridothatch_core.message import rows
from peridothatch_core.model import desired
from peridothatch_daemon.hosted import clock, desired_feed, messages
from peridothatch_wire import mailbox

CONFIG_KEY = "config"
OUT_OF_SERVICE = "evacuate/tema-b"


def _decode(value):
    found = json.loads(value)
    if not isinstance(found, dict) or "version" not in found:
        raise ValueError("no desired state")
    return desired.DesiredState(found["version"])


def _data_centre(key):
    return key.removeprefix("evacuate/") if key.startswith("evacuate/") else ""


def _row(key, value, version=1):
    return rows.Row("op", key, value, version)


def _config(version):
    return _row(CONFIG_KEY, json.dumps({"version": version}).encode(), version)


def _changes(*found):
    now = clock.now()
    return rows.Changes("op", found, int(1000 * now), now - 0.01, now)


def _feed(*inboxes):
    return desired_feed.filter_into(_decode, CONFIG_KEY, _data_centre, inboxes)


def _posted(inbox, kind):
    """Take all messages; return those of a kind."""
    return [item for item in mailbox.take_available(inbox, 100) if isinstance(item, kind)]


@pytest.mark.parametrize("unreadable", [b"[]", b"\xff", b'{"routes": []}', b"[" * 100])
def test_an_unreadable_version_does_not_confirm_the_one_before(unreadable):
    # Guards against an entry that decides calls by an older desired state for good: it could not
    # read the newest one, and each poll without news confirmed the one before.
    inbox = mailbox.create("reception")
    apply = _feed(inbox)
    apply(_changes(_config(3)))
    (confirmed,) = _posted(inbox, messages.DesiredConfirmed)
    assert confirmed.desired.version == 3
    apply(_changes(_row(CONFIG_KEY, unreadable, 4)))
    apply(_changes())
    assert _posted(inbox, messages.DesiredConfirmed) == []
    apply(_changes(_config(5)))
    apply(_changes())
    confirmed = _posted(inbox, messages.DesiredConfirmed)
    assert [found.desired.version for found in confirmed] == [5, 5]


def test_a_snapshot_without_a_readable_version_does_not_confirm_the_one_before():
    inbox = mailbox.create("reception")
    apply = _feed(inbox)
    apply(_changes(_config(3)))
    assert _posted(inbox, messages.DesiredConfirmed)
    now = clock.now()
    apply(rows.Snapshot("op", (), int(1000 * now), now - 0.01, now))
    apply(_changes())
    assert _posted(inbox, messages.DesiredConfirmed) == []


def test_an_unreadable_desired_state_hides_no_evacuation():
    inbox = mailbox.create("scheduler")
    apply = _feed(inbox)
    apply(_changes(_row(CONFIG_KEY, b"[]")))
    apply(_changes(_row(OUT_OF_SERVICE, b"{}")))
    (*_, confirmed) = _posted(inbox, messages.EvacuationsConfirmed)
    assert confirmed.data_centres == {"tema-b"}


def test_a_lost_message_is_made_good_by_the_next_poll():
    # Guards against a change that never comes into force in a task whose mailbox was full when
    # the change was posted: later polls brought no news and confirmed what the task knew.
    inbox = mailbox.create("scheduler", capacity=2)
    for _ in range(2):
        mailbox.post(inbox, "another message")
    apply = _feed(inbox)
    apply(_changes(_config(3), _row(OUT_OF_SERVICE, b"{}")))
    assert inbox.dropped == 2
    mailbox.take_available(inbox, 2)
    apply(_changes())
    state, evacuations = mailbox.take_available(inbox, 2)
    assert state.desired.version == 3
    assert evacuations.data_centres == {"tema-b"}
