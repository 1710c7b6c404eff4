"""Run ``zinniaramp`` as a module."""

from .core import main

main()
