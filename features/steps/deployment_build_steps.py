"""Steps for the build of the deploy file, with a stand-in for Python and pip."""

import os
import shutil
import subprocess

from behave import given, then, when

from features.deployment.libraries import ROOT, read_deploy_file

PYTHON_STANDIN = """\
#!/bin/sh
# Does what "python3 --version" and "python3 -m pip install" do, with empty files.
if [ "$1" = --version ]; then
  cat version
  exit
fi
while [ $# -gt 0 ]; do
  case "$1" in
    --target) target=$2 ;;
    -r) list=$2 ;;
  esac
  shift
done
mkdir -p "$target"
while read -r library; do
  touch "$target/$library"
  if [ -e interrupted ]; then exit 1; fi
done < "$list"
echo installed >> installations
"""

OLD_TIME = 1_000_000_000
"""Modification time of an old file, in seconds since 1970."""


def write_list(context, names):
    """Write the list of requirements of the checkout and return its path."""
    path = context.directory / "deploy" / "requirements.txt"
    path.write_text("".join(f"{name}\n" for name in names.split()))
    return path


def run_build(context):
    """Run the build as the platform does; return whether it succeeded."""
    finished = subprocess.run(
        ["sh", "-c", read_deploy_file()["build"]],
        cwd=context.directory,
        env={"PATH": f"{context.directory / 'bin'}:{os.environ['PATH']}"},
        check=False,
    )
    return finished.returncode == 0


@given('a checkout whose list names "{names}"')
def make_checkout(context, names):
    shutil.copytree(ROOT / "deploy", context.directory / "deploy")
    write_list(context, names)
    (context.directory / "version").write_text("Python 3.11.7\n")
    python = context.directory / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(PYTHON_STANDIN)
    python.chmod(0o755)


@given("a build that is interrupted while it installs")
def interrupt_build(context):
    mark = context.directory / "interrupted"
    mark.touch()
    assert not run_build(context)
    mark.unlink()


@given("a build that has succeeded")
@when("the build is run")
def run_whole_build(context):
    assert run_build(context)


@given('a list that names "{names}" and is older than the build')
def replace_list_with_older(context, names):
    os.utime(write_list(context, names), (OLD_TIME, OLD_TIME))


@given('a list that names "{names}"')
def replace_list(context, names):
    write_list(context, names)


@given("another version of Python")
def replace_python(context):
    (context.directory / "version").write_text("Python 3.13.1\n")


@then('exactly the libraries "{names}" are installed')
def check_installed(context, names):
    installed = sorted(os.listdir(context.directory / "target" / "deps"))
    assert installed == names.split(), installed


@then("the libraries have been installed {count:d} times")
def check_installations(context, count):
    lines = (context.directory / "installations").read_text().splitlines()
    assert len(lines) == count, lines
