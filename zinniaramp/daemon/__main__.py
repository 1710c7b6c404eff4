"""Run ``zinniarampd`` as a module."""

from .core import main

main()
