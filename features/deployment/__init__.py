"""Support for the features about the deploy file."""
