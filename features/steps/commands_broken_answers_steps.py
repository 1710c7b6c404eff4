"""Steps for commands whose answers break off."""

import asyncio
import threading

from behave import given, when

from features.steps.commands_steps import run
from features.support.scripted_server import ScriptedServer


@given('a process that answers "{answer}", and whose connection is {end}')
@given('a process that answers "", and whose connection is {end}')
def start_process(context, end, answer=""):
    text = answer.encode().decode("unicode_escape")
    context.server = ScriptedServer(answer=text, end=end, reads_body=True)
    loop = asyncio.new_event_loop()
    task = loop.create_task(context.server.run())
    thread = threading.Thread(target=loop.run_until_complete, args=(wait(task),))
    thread.start()

    def stop():
        loop.call_soon_threadsafe(task.cancel)
        thread.join()
        loop.close()

    context.add_cleanup(stop)


async def wait(task):
    """Wait until a task has ended or was cancelled."""
    await asyncio.wait([task])


@when('the command runs "{line}" for it')
def run_for_process(context, line):
    url = f"127.0.0.1:{context.server.port}"
    run(context, [url if word == "URL" else word for word in line.split()])
