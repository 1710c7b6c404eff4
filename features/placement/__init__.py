"""Scenarios for the placement of prompts, and a simulation of the load."""
