"""Run one experiment by name."""

import fire

from .changes import measure_changes
from .control import measure_control
from .overhead import measure_overhead
from .passing import measure_passing

EXPERIMENTS = {
    "changes": measure_changes,
    "control": measure_control,
    "overhead": measure_overhead,
    "passing": measure_passing,
}

fire.Fire(EXPERIMENTS, name="measure")
