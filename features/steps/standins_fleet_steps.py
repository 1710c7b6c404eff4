"""Steps about the fleet script."""

import subprocess
import sys
from pathlib import Path

import psutil
from behave import then, when
from result import Ok

from zinniaramp.settings import read_settings
from zinniaramp.standins.fleet import read_fleet

CHOOSE_PORTS = """
import sys
from zinniaramp.standins.processes import free_port
print(*[free_port() for _ in range(int(sys.argv[1]))], flush=True)
sys.stdin.read()
"""

ROOT = Path(__file__).resolve().parents[2]


def run_script(context, *arguments):
    """Run the fleet script with the scenario's directory."""
    script = [sys.executable, str(ROOT / "scripts" / "fleet.py")]
    return subprocess.run(
        [*script, *arguments, "--dir", str(context.directory)],
        capture_output=True,
        check=False,
        timeout=60,
        text=True,
    )


def is_running(process):
    """Return whether a process of the fleet exists and is not a zombie."""
    try:
        return psutil.Process(process.pid).status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return False


@when(
    "the script brings up {entries:d} entries, {endpoints:d} endpoints "
    "and {services:d} service"
)
def bring_up_by_script(context, entries, endpoints, services):
    finished = run_script(
        context,
        "up",
        f"--entries={entries}",
        f"--endpoints={endpoints}",
        f"--services={services}",
    )
    assert finished.returncode == 0, finished.stderr
    context.fleet = read_fleet(context.directory)


@then("the fleet has {counts} processes")
def check_counts(context, counts):
    roles = [process.role for process in context.fleet]
    for item in counts.replace(" and ", ", ").split(", "):
        count, role = item.split()
        assert roles.count(role) == int(count), (role, roles)


@then("all processes of the fleet are running")
def check_running(context):
    assert all(map(is_running, context.fleet))


@then("the settings of every daemon are accepted")
def check_settings(context):
    daemons = [process for process in context.fleet if process.settings]
    assert len(daemons) == 5
    for process in daemons:
        assert isinstance(read_settings(Path(process.settings)), Ok), process.settings


@when("the script brings the fleet down")
def bring_down_by_script(context):
    assert run_script(context, "down").returncode == 0


@then("no process of the fleet is running")
def check_none_running(context):
    assert not any(map(is_running, context.fleet))


@when("the script brings up a fleet whose files cannot be written")
def bring_up_with_error(context):
    obstacle = context.directory / "declarations.ini"
    obstacle.mkdir()
    context.finished = run_script(context, "up")
    obstacle.rmdir()


@then("the script fails and no process of the fleet is running")
def check_failed_start(context):
    assert context.finished.returncode != 0
    context.fleet = read_fleet(context.directory)
    assert context.fleet
    assert not any(map(is_running, context.fleet))


@when("{count:d} processes choose {ports:d} free ports each and keep running")
def choose_ports(context, count, ports):
    command = [sys.executable, "-c", CHOOSE_PORTS, str(ports)]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    processes = [subprocess.Popen(command, text=True, **pipes) for _ in range(count)]
    context.ports = [process.stdout.readline().split() for process in processes]
    for process in processes:
        process.communicate()
    assert [len(chosen) for chosen in context.ports] == [ports] * count


@then("no port was chosen twice")
def check_different_ports(context):
    chosen = [port for ports in context.ports for port in ports]
    assert len(set(chosen)) == len(chosen), len(chosen) - len(set(chosen))
