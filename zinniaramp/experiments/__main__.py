"""Command line that runs one experiment by its name."""

import fire

from .changes import measure_changes
from .control import measure_control
from .in_force import measure_in_force
from .overhead import measure_overhead
from .passing import measure_passing
from .policy import measure_policy
from .resumption import measure_resumption
from .soak import measure_soak

EXPERIMENTS = {
    "in_force": measure_in_force,
    "changes": measure_changes,
    "control": measure_control,
    "overhead": measure_overhead,
    "passing": measure_passing,
    "policy": measure_policy,
    "resumption": measure_resumption,
    "soak": measure_soak,
}

fire.Fire(EXPERIMENTS, name="measure")
