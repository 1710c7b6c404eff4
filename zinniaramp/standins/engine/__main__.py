"""Run the engine stand-in as a process."""

import asyncio

import fire

from ...clock import monotonic_clock
from ..serving import Controls, Faults, serve
from ..text import DEFAULT_MODEL
from .core import Engine
from .handlers import ROUTES
from .prefix import PrefixCache


async def run(
    *, port: int, width: int, models: str, cache_blocks: int, faults: Faults
) -> None:
    """Run the step loop and serve until the process ends."""
    controls = Controls(faults=faults)
    engine = Engine(
        width=width,
        models=models.split(),
        cache=PrefixCache(capacity=cache_blocks),
        controls=controls,
        clock=monotonic_clock(),
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(engine.run())
        tasks.create_task(serve(ROUTES, port=port, controls=controls, state=engine))


def main(
    *,
    port: int,
    width: int = 8,
    models: str = DEFAULT_MODEL,
    cache_blocks: int = 4096,
    slow: float = 1.0,
    lag_s: float = 1.0,
) -> None:
    """Serve a stand-in for a model engine on loopback.

    Parameters
    ----------
    port : int
        TCP port.
    width : int
        Largest number of requests in a batch.
    models : str
        Names of the served models, separated by spaces.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 16 prompt tokens.
    slow : float
        Factor by which step times are multiplied.
    lag_s : float
        Age of the load report, in seconds.
    """
    faults = Faults(slow=slow, lag_s=lag_s)
    asyncio.run(
        run(
            port=port,
            width=width,
            models=models,
            cache_blocks=cache_blocks,
            faults=faults,
        )
    )


if __name__ == "__main__":
    fire.Fire(main)
