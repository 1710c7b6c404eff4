"""Steps for the startup of the gateway."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

from features.gateway.exchanges import read_reply, request
from zinniaramp.platform.listening import open_listener
from zinniaramp.sockets import Address
from zinniaramp.standins.platform.process import LOOPBACK, GatewayProcess
from zinniaramp.standins.processes import free_port

LIBRARIES = ("tornado", "loguru", "prometheus_client", "msgpack", "result", "asyncio")
FIRST_STEP_SCRIPT = f"""
import sys
import zinniaramp.daemon.gateway
from zinniaramp.platform.listening import open_listener, settings_path
opened = open_listener(settings_path())
print(opened.socket is not None, [one for one in {LIBRARIES} if one in sys.modules])
"""


def write_settings_file(context):
    """Write the settings file of a gateway process that is not started."""
    process = GatewayProcess(
        directory=context.directory, name="first", store=free_port()
    )
    process.write_settings()
    return process


@when("only the first step of the startup is run")
def run_first_step(context):
    path = write_settings_file(context).settings_path
    context.output = subprocess.run(
        [sys.executable, "-S", "-c", FIRST_STEP_SCRIPT],
        env={"ZINNIARAMP_NODE_FILE": str(path), "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    ).stdout


@then("it listens and none of the libraries is loaded")
def check_listens_without_libraries(context):
    assert context.output == "True []\n", context.output


@when("a request waits in the listen backlog and then the gateway starts")
def send_before_start(context):
    rig = context.rig
    process = write_settings_file(context)
    listener = open_listener(process.settings_path)
    context.name = "early"

    async def send_and_start():
        address = Address(ip=LOOPBACK, port=process.callers)
        reader, writer = await rig.connect(address=address)
        writer.write(request("/read/x", name=context.name))
        await rig.add_daemon(listener=listener)
        context.reply = await read_reply(reader)
        writer.close()

    rig.run(send_and_start())


@when("the listener is opened with a settings file without the callers' address")
def open_without_address(context):
    path = Path(context.directory) / "node.toml"
    path.write_text('[listen]\nready = "127.0.0.1:1"\n')
    context.listener = open_listener(path)


@then("it is not open and the problem states the missing key")
def check_no_listener(context):
    assert context.listener.socket is None
    assert "frontend" in context.listener.problem


@when("the demo of the gateway is run")
def run_demo(context):
    command = [sys.executable, "-m", "zinniaramp.standins.platform"]
    context.demo = subprocess.run(command, check=False, capture_output=True, text=True)


@then("it exits with 0 and every answer is as expected")
def check_demo(context):
    assert context.demo.returncode == 0, context.demo.stderr
    assert "UNEXPECTED" not in context.demo.stdout, context.demo.stdout
