"""Features of admission."""
