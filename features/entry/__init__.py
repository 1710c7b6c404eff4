"""Features of the entry process, and the fakes that they use."""
