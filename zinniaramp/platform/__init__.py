"""Adapter to the users' platform: its settings file, store, documents and headers.

The package only translates: it makes no routing decisions, and no other package uses
a name of the platform.  It exports nothing, because importing one module must not load
the others: `listening` is imported before the third-party libraries.
"""

__all__: list[str] = []
