"""Router fleet for multi-turn chats, optimized for the worst answer rather than the average."""

__all__ = ["__version__"]

__version__ = "0.1.0"
