"""Run every feature and print the closing count, passing over known faults.

A scenario that is named in ``KNOWN-RED.txt`` may fail: it is printed and not
counted as a failure.  Any other failing scenario fails the run, and so does a
listed scenario that passes, because its entry is then out of date.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "


def read_known_red():
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def run_behave(arguments, report_path):
    """Run behave once and return the parsed JSON report and its exit code."""
    command = [
        sys.executable,
        "-m",
        "behave",
        "--no-color",
        "--format=progress",
        "--format=json",
        f"--outfile={report_path.with_suffix('.txt')}",
        f"--outfile={report_path}",
        *arguments,
    ]
    finished = subprocess.run(command, cwd=ROOT, check=False)
    if not report_path.exists():
        return [], finished.returncode
    return json.loads(report_path.read_text()), finished.returncode


def scenario_results(report):
    """Yield ``(name, passed)`` for each scenario of a behave JSON report."""
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield element["name"].strip(), element.get("status") == "passed"


def main():
    """Run the features and print the verdict."""
    with tempfile.TemporaryDirectory() as directory:
        report_path = Path(directory) / "report.json"
        report, exit_code = run_behave(sys.argv[1:], report_path)
    known_red = read_known_red()
    passed, failed, red = 0, [], []
    for name, is_passed in scenario_results(report):
        if is_passed and name not in known_red:
            passed += 1
        elif name in known_red and not is_passed:
            red.append(name)
        else:
            failed.append(name)
    for name in red:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    is_broken = exit_code != 0 and not failed and not red
    if is_broken:
        print(f"behave ended with exit code {exit_code}")
    print(f"{passed} passed, {len(failed) + is_broken} failed")
    return 1 if failed or is_broken or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
