"""Crowds of misbehaving callers, and the steps' access to the gateway's process."""
