"""Simulation that drives the quarantine of prompt segments."""
