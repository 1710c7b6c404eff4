"""Run every feature and print the closing count, passing over known faults.

A scenario that is named in ``KNOWN-RED.txt`` may fail: it is printed and not
counted as a failure.  Any other failing scenario fails the run, and so does a
listed scenario that passes, because its entry is then out of date.
"""

import json
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "

PARALLEL_SUBJECTS = 4
"""Subjects whose features run at the same time."""


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


@dataclass(slots=True, kw_only=True)
class SubjectRun:
    """Result of the features of one subject."""

    subject: str
    report: list
    output: str
    is_broken: bool
    seconds: float


def subjects():
    """Return the directories that hold features, by name."""
    return sorted({path.parent for path in FEATURES.rglob("*.feature")})


def run_subject(subject):
    """Run the features of one subject in a process of their own."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        report_path = Path(directory) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--no-color",
            "--format=plain",
            "--format=json",
            f"--outfile={report_path.with_suffix('.txt')}",
            f"--outfile={report_path}",
            str(subject),
        ]
        finished = subprocess.run(
            command, cwd=ROOT, check=False, capture_output=True, text=True
        )
        text = report_path.read_text() if report_path.exists() else ""
        steps_path = report_path.with_suffix(".txt")
        steps = steps_path.read_text() if steps_path.exists() else ""
    report = json.loads(text) if text else []
    has_failure = any(not is_passed for _, is_passed in scenario_results(report))
    return SubjectRun(
        subject=str(subject.relative_to(FEATURES)),
        report=report,
        output=f"{steps}\n{finished.stdout}\n{finished.stderr}",
        is_broken=finished.returncode != 0 and not has_failure,
        seconds=time.monotonic() - started,
    )


def scenario_results(report):
    """Yield ``(name, passed)`` for each scenario of a behave JSON report."""
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield element["name"].strip(), element.get("status") == "passed"


def main():
    """Run the features and print the verdict."""
    known_red = read_known_red()
    passed, failed, red = 0, [], []
    with ThreadPoolExecutor(max_workers=PARALLEL_SUBJECTS) as pool:
        for run in pool.map(run_subject, subjects()):
            results = list(scenario_results(run.report))
            print(f"{run.subject}: {len(results)} scenarios, {run.seconds:.0f} s")
            failures = [name for name, is_passed in results if not is_passed]
            red += [name for name in failures if name in known_red]
            failed += [name for name in failures if name not in known_red]
            # A listed scenario that passes has an entry that is out of date.
            passing = [name for name, is_passed in results if is_passed]
            failed += [name for name in passing if name in known_red]
            passed += len([name for name in passing if name not in known_red])
            if run.is_broken:
                failed.append(f"features of {run.subject} did not run")
            if run.is_broken or any(name not in known_red for name in failures):
                print(run.output)
    for name in red:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
