"""Small stand-ins of the platform, which the cases of the second review start."""
