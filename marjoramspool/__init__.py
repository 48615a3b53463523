"""A router fleet for returning chats, judged by its worst answer."""

__all__ = ["__version__"]

__version__ = "0.1.0"
