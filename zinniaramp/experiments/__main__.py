"""Run one experiment by name."""

import fire

from .overhead import measure_overhead
from .passing import measure_passing
from .soak import measure_soak

EXPERIMENTS = {
    "overhead": measure_overhead,
    "passing": measure_passing,
    "soak": measure_soak,
}

fire.Fire(EXPERIMENTS, name="measure")
