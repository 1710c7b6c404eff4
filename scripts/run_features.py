"""Run all features, several at a time, and print the numbers of passes and failures.

A scenario that is listed in ``KNOWN-RED.txt`` may fail: it is printed and not
counted as a failure.  Any other scenario that fails makes the run fail, and so does
a listed scenario that passes, because its entry is then out of date.
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
"""Start of each line of ``KNOWN-RED.txt`` that holds the name of a scenario."""

PARALLEL_FEATURES = 4
"""Number of features that run at the same time."""

SLOWEST_DIRECTORIES = ("placement", "promises", "gateway")
"""Directories whose features take longest; started last, they would run alone."""

LONE_DIRECTORIES = ("intake",)
"""Directories whose features run one at a time after all others.  They measure the
memory of a process under a crowd of callers, and load the machine meanwhile."""


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
class FeatureRun:
    """Result of one run of a feature.

    Parameters
    ----------
    name : str
        Path of the feature, relative to ``features/``.
    report : list
        Parsed JSON report of behave; empty if there is none.
    output : str
        Steps of the feature, standard output and standard error.
    is_broken : bool
        Whether behave failed without a failed scenario, as after an import error.
    seconds : float
        Duration of the run.
    """

    name: str
    report: list
    output: str
    is_broken: bool
    seconds: float


def feature_files():
    """Return the paths of all feature files, the slowest first."""
    return sorted(FEATURES.rglob("*.feature"), key=_rank_feature)


def run_all_features():
    """Yield the result of each feature; those of `LONE_DIRECTORIES` come last."""
    files = feature_files()
    lone = [path for path in files if path.parent.name in LONE_DIRECTORIES]
    with ThreadPoolExecutor(max_workers=PARALLEL_FEATURES) as pool:
        yield from pool.map(run_feature, [path for path in files if path not in lone])
    yield from map(run_feature, lone)


def _rank_feature(path):
    directory = path.parent.name
    order = [*SLOWEST_DIRECTORIES, directory]
    return order.index(directory), str(path)


def run_feature(path):
    """Run one feature in a separate behave process and return its result."""
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
            str(path),
        ]
        finished = subprocess.run(
            command, cwd=ROOT, check=False, capture_output=True, text=True
        )
        text = report_path.read_text() if report_path.exists() else ""
        steps_path = report_path.with_suffix(".txt")
        steps = steps_path.read_text() if steps_path.exists() else ""
    report = json.loads(text) if text else []
    has_failure = any(not is_passed for _, is_passed in scenario_results(report))
    return FeatureRun(
        name=str(path.relative_to(FEATURES)),
        report=report,
        output=f"{steps}\n{finished.stdout}\n{finished.stderr}",
        is_broken=finished.returncode != 0 and not has_failure,
        seconds=time.monotonic() - started,
    )


def scenario_results(report):
    """Yield ``(name, is_passed)`` for each scenario of a behave JSON report."""
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield element["name"].strip(), element.get("status") == "passed"


def main():
    """Run all features, print the results and return the exit status."""
    known_red = read_known_red()
    passed, failed, known_failures = 0, [], []
    for run in run_all_features():
        results = list(scenario_results(run.report))
        print(f"{run.name}: {len(results)} scenarios, {run.seconds:.0f} s")
        failures = [name for name, is_passed in results if not is_passed]
        known_failures += [name for name in failures if name in known_red]
        failed += [name for name in failures if name not in known_red]
        # The entry of a listed scenario that passes is out of date.
        passing = [name for name, is_passed in results if is_passed]
        failed += [name for name in passing if name in known_red]
        passed += len([name for name in passing if name not in known_red])
        if run.is_broken:
            failed.append(f"{run.name} did not run")
        if run.is_broken or any(name not in known_red for name in failures):
            print(run.output)
    for name in known_failures:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
