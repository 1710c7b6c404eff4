"""Adapter to the users' platform: its settings file, store, documents and headers.

The package only translates between the platform's formats and the gateway's types: it
makes no routing decisions, and no other package uses the platform's names.  It exports
nothing, because importing one module must not load the others: `listening` is imported
before the third-party libraries.
"""

__all__: list[str] = []
