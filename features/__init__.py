"""Features of zinniaramp, by subject."""
