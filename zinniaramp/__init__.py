"""Router for language-model traffic with service levels and priorities."""

__all__ = ["__version__"]

__version__ = "0.1.0"
