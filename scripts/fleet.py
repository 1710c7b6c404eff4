"""Starts and stops a small fleet with its stand-ins on loopback."""

import signal
import sys
import time
from pathlib import Path

import fire

from zinniaramp.standins.fleet import FleetError, bring_down, bring_up

EXIT_FAILED = 1
"""Exit code when a fleet fails to start or does not exist."""


def up(
    *, dir: str, entries: int = 1, endpoints: int = 1, services: int = 0, example=""
) -> None:
    """Start a fleet and return when every process is ready.

    Parameters
    ----------
    dir : str
        Directory for settings, logs and ``fleet.json``.
    entries, endpoints, services : int
        Number of entry processes, of engines and of plain services; one endpoint
        process is started for each engine and each plain service.
    example : str
        Name of the directory below ``examples`` whose declarations are published;
        built-in declarations if left out.
    """
    started = time.monotonic()
    processes = bring_up(
        Path(dir),
        entries=entries,
        endpoints=endpoints,
        services=services,
        example=example,
    )
    seconds = time.monotonic() - started
    print(f"{len(processes)} processes ready after {seconds:.1f} s")


def down(*, dir: str) -> None:
    """Terminate all processes of a fleet.

    Parameters
    ----------
    dir : str
        Directory that was passed to ``up``.
    """
    bring_down(Path(dir))


def main() -> None:
    """Run ``fleet.py up`` or ``fleet.py down``."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fire.Fire({"up": up, "down": down}, name="fleet.py")
    except FleetError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
