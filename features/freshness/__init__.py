"""Simulation of gateways that follow a store whose watches are not answered."""
