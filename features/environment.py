"""Hooks of behave, and settings of hypothesis and the log for all features."""

import shutil
import tempfile
from pathlib import Path

from hypothesis import settings
from loguru import logger

from zinniaramp.standins.fleet import bring_down

# Hypothesis generates the same examples in every run and stores none.
settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
logger.remove()


def before_scenario(context, scenario):
    """Create a temporary directory for each scenario."""
    context.directory = Path(tempfile.mkdtemp(prefix="zinniaramp-"))


def after_scenario(context, scenario):
    """End the scenario's processes and remove its directory."""
    if "end_fleet" in context:
        context.end_fleet()
    if (context.directory / "fleet.json").exists():
        bring_down(context.directory)
    shutil.rmtree(context.directory)
