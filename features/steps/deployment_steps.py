"""Steps for the deploy file: its build, and the libraries of the programs."""

import asyncio
import os
import shlex
import venv

from behave import then, when

from features.deployment.libraries import (
    install_libraries,
    libraries_of_directory,
    libraries_of_program,
    read_declared,
    read_deploy_file,
    read_pins,
)
from features.gateway.rig import POLL_INTERVAL_SECONDS
from zinniaramp.standins.platform import GatewayProcess

DEPLOY_REQUIREMENTS = "deploy/requirements.txt"
LOCK_FILE = "requirements.lock"
DEVELOPMENT_DIRECTORIES = ("features",)
"""Directories whose modules may import the libraries for development."""


@when(
    "the gateway of the deploy file is started where only its libraries are installed"
)
def start_with_libraries_of_build(context):
    rig, clean = context.rig, context.directory / "clean"
    venv.create(clean, with_pip=False, symlinks=True)
    libraries = context.directory / "libraries"
    install_libraries(read_pins(DEPLOY_REQUIREMENTS), libraries)
    process = GatewayProcess(
        directory=context.directory,
        name="clean",
        store=rig.store.port,
        command=tuple(shlex.split(read_deploy_file()["roles"]["entry"]["run"])),
        environment={
            "PATH": f"{clean / 'bin'}:{os.environ['PATH']}",
            "PYTHONPATH": str(libraries),
            "PYTHONDONTWRITEBYTECODE": "1",
        },
    )
    rig.processes.append(process)
    rig.run(process.start())


@then("it becomes ready and answers a request with {status:d}")
def check_serves(context, status):
    rig = context.rig
    (process,) = rig.processes

    async def call_when_ready():
        while await rig.process_readiness_status(process) != 200:
            assert process.process.returncode is None, process.log_path.read_text()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return await rig.call_process(process, "/open/x")

    assert rig.run(call_when_ready()).status == status


@then('"{path}" lists the libraries that "{module}" imports')
def check_listed(context, path, module):
    missing = libraries_of_program(module) - set(read_pins(path))
    assert not missing, missing


@then('"{path}" has the versions of "{other}"')
def check_versions(context, path, other):
    pins = read_pins(path)
    expected = read_pins(other)
    different = {
        name: (version, pins.get(name))
        for name, version in expected.items()
        if pins.get(name) != version
    }
    assert not different, different


@then('the libraries that "{directory}" imports are declared and pinned')
def check_declared(context, directory):
    imported = libraries_of_directory(directory)
    declared = read_declared(with_dev=directory in DEVELOPMENT_DIRECTORIES)
    assert imported <= declared, imported - declared
    pinned = set(read_pins(LOCK_FILE))
    assert declared <= pinned, declared - pinned
