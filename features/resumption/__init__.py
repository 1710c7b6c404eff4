"""Simulation of streams that callers resume, in virtual time."""
