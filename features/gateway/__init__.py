"""Scenarios of the gateway on the platform, and their rig."""
