"""The users' platform: its settings file, store, documents and headers.

Nothing here decides, and nothing outside knows a name of the platform.  Its modules
are imported one by one, as `listening` is needed before the libraries are loaded.
"""

__all__: list[str] = []
