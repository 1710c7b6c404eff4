"""Simulation of traffic between data centres."""
