"""Prompts as chains of parts that many requests share."""

from dataclasses import dataclass

__all__ = ["Part", "Prompt"]


@dataclass(slots=True, frozen=True)
class Part:
    """Name one part of a prompt and its length in tokens."""

    id: int
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Describe a prompt: its model, its size in tokens and its parts in order."""

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    @property
    def shared_part_id(self) -> int:
        """Return the last part that other requests are likely to share."""
        if not self.parts:
            return 0
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id

    @property
    def tokens(self) -> int:
        """Return the memory that the request takes at its end, in tokens."""
        return self.input_tokens + self.output_tokens
