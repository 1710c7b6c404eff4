"""Code shared by steps."""
