"""Run one experiment by name."""

import fire

from .overhead import measure_overhead
from .passing import measure_passing

EXPERIMENTS = {"overhead": measure_overhead, "passing": measure_passing}

fire.Fire(EXPERIMENTS, name="measure")
