"""Guards against tasks that do not work together when started as an entry starts them."""

import asyncio

import pytest

from peridothatch_core.message import link
from peridothatch_core.model import customer
from peridothatch_daemon import messages
from peridothatch_daemon.decide import config, registry
from peridothatch_daemon.outlet import store
from peridothatch_standins import server, table_service
from peridothatch_wire import mailbox


@pytest.fixture
async def outlet():
    table = await table_service.start()
    handle = store.start(table.url)
    yield handle
    await store.close(handle)
    await server.close(table)


async def wait_for(inbox, kind, accept=lambda _message: True):
    while True:
        message = await asyncio.wait_for(mailbox.take(inbox), 60)
        if isinstance(message, kind) and accept(message):
            return message


async def test_a_change_reaches_the_subscribers_of_another_entry(outlet):
    started, inboxes = [], []
    for key in ("a", "b"):
        own = link.Hello(1, "entry", key, "i", "dc", "r")
        inboxes.append(mailbox.create(f"subscriber {key}"))
        links, subscribers = mailbox.create("links"), (inboxes[-1],)
        started.append(config.start(own, True, outlet.inbox, links, subscribers))
        await wait_for(inboxes[-1], messages.ConfigConfirmed)
    reply = mailbox.Reply()
    value = customer.Customer("ges", 8)
    change = messages.ChangeConfig("customer", "ges", value, "ama", reply)
    mailbox.post(started[0].inbox, change)
    assert (await mailbox.wait(reply, 30)).unwrap().revision == 1
    changed = await wait_for(
        inboxes[1], messages.ConfigChanged, lambda found: found.snapshot.revision == 1
    )
    assert changed.snapshot.customers == {"ges": value}
    fresh = await wait_for(inboxes[1], messages.ConfigConfirmed)
    assert fresh.revision == 1
    for handle in started:
        await config.close(handle)


async def test_registered_entries_learn_of_each_other(outlet):
    started, inboxes = [], []
    for key in ("a", "b"):
        address = link.EntryAddress(key, "127.0.0.1", 7000, "dc", "r")
        inboxes.append(mailbox.create(f"subscriber {key}"))
        started.append(registry.start(address, "i", outlet.inbox, (inboxes[-1],)))
    for inbox in inboxes:
        await wait_for(inbox, messages.EntriesChanged, lambda found: len(found.entries) == 2)
    for handle in started:
        await registry.close(handle)
