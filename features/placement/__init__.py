"""Scenarios of the placement of prompts, and a play of the load."""
