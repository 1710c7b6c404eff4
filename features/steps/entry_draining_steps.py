"""Steps for requests that an entry can't complete before its drain limit."""

import asyncio
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from behave import when

from features.steps.entry_steps import (
    POLL_SECONDS,
    WAIT_SECONDS,
    chat_body,
    run_entry_in_process,
    send,
)
from zinniaramp.contracts import Offer

SHORT_LIMIT = timedelta(seconds=0.2)


async def drain_during(context, *, is_waiting, headers=None, **fields):
    """Drain an entry while a request is in progress, and store its reply.

    Parameters
    ----------
    is_waiting : callable
        Returns whether the request has come as far as it can.
    """
    process = await run_entry_in_process(context)
    fleet = replace(process.settings.fleet, drain_limit=SHORT_LIMIT)
    process.settings = replace(process.settings, fleet=fleet)
    sending = asyncio.create_task(
        asyncio.to_thread(send, context, chat_body(**fields), headers)
    )
    while not is_waiting():
        await asyncio.sleep(POLL_SECONDS)
    await asyncio.wait_for(process.drain(), WAIT_SECONDS)
    context.reply = await sending


@when(
    'its drain limit passes while a caller\'s request of class "{name}" waits for an '
    "answer"
)
def drain_before_answer(context, name):
    fake = context.fakes["a"]
    asyncio.run(
        drain_during(
            context,
            is_waiting=lambda: fake.messages(Offer),
            headers={"Zinniaramp-Class": name},
        )
    )


@when("its drain limit passes while a caller's stream is in progress")
def drain_during_stream(context):
    fake = context.fakes["a"]
    asyncio.run(
        drain_during(context, is_waiting=lambda: fake.messages(Offer), stream=True)
    )


@when(
    'its drain limit passes while a caller\'s request of class "{name}" waits for a '
    "ticket"
)
def drain_before_ticket(context, name):
    is_waiting = asyncio.Event()

    async def wait(*_):
        is_waiting.set()
        await asyncio.Event().wait()

    with patch("zinniaramp.entry.runs.issue_ticket", wait):
        asyncio.run(
            drain_during(
                context,
                is_waiting=is_waiting.is_set,
                headers={"Zinniaramp-Class": name},
            )
        )
