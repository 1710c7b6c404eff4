"""Simulations of cold endpoints and evacuations."""
