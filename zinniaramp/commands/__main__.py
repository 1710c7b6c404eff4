"""Run the command as a module."""

from .core import main

main()
