"""Run the daemon as a module."""

from .core import main

main()
