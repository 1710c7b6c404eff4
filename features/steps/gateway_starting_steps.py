"""Steps about the start of the gateway."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

from features.gateway.rig import read_reply, request
from zinniaramp.platform.listening import open_listener
from zinniaramp.sockets import Address
from zinniaramp.standins.platform.process import LOOPBACK, GatewayProcess
from zinniaramp.standins.processes import free_port

LIBRARIES = ("tornado", "loguru", "prometheus_client", "msgpack", "result", "asyncio")
FIRST_STEP = f"""
import sys
import zinniaramp.daemon.gateway
from zinniaramp.platform.listening import open_listener, settings_path
opened = open_listener(settings_path())
print(opened.socket is not None, [one for one in {LIBRARIES} if one in sys.modules])
"""


def settings_of(context):
    """Write the settings of a process that is not started, and return them."""
    process = GatewayProcess(
        directory=context.directory, name="first", store=free_port()
    )
    process.write_settings()
    return process


@when("the start's first step is run by itself")
def first_step(context):
    path = settings_of(context).settings_path
    context.output = subprocess.run(
        [sys.executable, "-S", "-c", FIRST_STEP],
        env={"ZINNIARAMP_NODE_FILE": str(path), "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    ).stdout


@then("it listens, and has loaded no library")
def listens(context):
    assert context.output == "True []\n", context.output


@when("a request waits in the listener's queue, and then the gateway starts")
def waits_in_queue(context):
    rig = context.rig
    process = settings_of(context)
    listener = open_listener(process.settings_path)
    context.name = "early"

    async def play():
        address = Address(ip=LOOPBACK, port=process.callers)
        reader, writer = await rig.connect(address=address)
        writer.write(request("/read/x", name=context.name))
        await rig.add_daemon(listener=listener)
        context.reply = await read_reply(reader)
        writer.close()

    rig.run(play())


@when("the listener is to be opened by a file without an address")
def no_address(context):
    path = Path(context.directory) / "node.toml"
    path.write_text('[listen]\nready = "127.0.0.1:1"\n')
    context.listener = open_listener(path)


@then("there is none, and the problem names what is missing")
def no_listener(context):
    assert context.listener.socket is None
    assert "frontend" in context.listener.problem
