"""Run one experiment by name."""

import fire

from .overhead import measure_overhead
from .passing import measure_passing
from .policy import measure_policy

EXPERIMENTS = {
    "overhead": measure_overhead,
    "passing": measure_passing,
    "policy": measure_policy,
}

fire.Fire(EXPERIMENTS, name="measure")
