"""Steps about the fleet script."""

import subprocess
import sys
from pathlib import Path

import psutil
from behave import then, when
from result import Ok

from zinniaramp.settings import read_settings
from zinniaramp.standins.fleet import read_fleet

ROOT = Path(__file__).resolve().parents[2]


def run_script(context, *arguments):
    """Run the fleet script on the scenario's directory."""
    script = [sys.executable, str(ROOT / "scripts" / "fleet.py")]
    return subprocess.run(
        [*script, *arguments, "--dir", str(context.directory)],
        capture_output=True,
        check=False,
        timeout=60,
        text=True,
    )


def running_pids(context):
    """Return the process ids of the fleet's processes that still run."""
    own = str(context.directory)
    found = []
    for process in psutil.process_iter(["cmdline", "status"]):
        is_zombie = process.info["status"] == psutil.STATUS_ZOMBIE
        if not is_zombie and own in " ".join(process.info["cmdline"] or []):
            found.append(process.pid)
    listed = {one.pid for one in context.fleet}
    return [*found, *(pid for pid in listed if is_running(pid))]


def is_running(pid):
    """Tell whether a process id belongs to a process that has not ended."""
    try:
        return psutil.Process(pid).status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return False


@when(
    "the script brings up {entries:d} entries, {endpoints:d} endpoints "
    "and {services:d} service"
)
def script_up(context, entries, endpoints, services):
    finished = run_script(
        context,
        "up",
        f"--entries={entries}",
        f"--endpoints={endpoints}",
        f"--services={services}",
    )
    assert finished.returncode == 0, finished.stderr
    context.fleet = read_fleet(context.directory)


@then("the list has {counts} processes")
def check_counts(context, counts):
    roles = [one.role for one in context.fleet]
    for part in counts.replace(" and ", ", ").split(", "):
        count, role = part.split()
        assert roles.count(role) == int(count), (role, roles)


@then("all of them run")
def check_running(context):
    assert all(is_running(one.pid) for one in context.fleet)


@then("the settings of every daemon are accepted")
def check_settings(context):
    daemons = [one for one in context.fleet if one.settings]
    assert len(daemons) == 5
    for one in daemons:
        assert isinstance(read_settings(Path(one.settings)), Ok), one.settings


@when("the script brings the fleet down")
def script_down(context):
    assert run_script(context, "down").returncode == 0


@then("none of them runs")
def check_none_running(context):
    assert running_pids(context) == []


@when("the script brings up a fleet whose files cannot be written")
def script_up_refused(context):
    broken = context.directory / "declarations.ini"
    broken.mkdir()
    context.finished = run_script(context, "up")
    broken.rmdir()


@then("it fails and none of the listed processes runs")
def check_failed_up(context):
    assert context.finished.returncode != 0
    context.fleet = read_fleet(context.directory)
    assert context.fleet
    assert running_pids(context) == []
