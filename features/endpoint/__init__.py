"""Scenarios of the endpoint process and their rig."""
