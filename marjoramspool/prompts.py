"""Prompts as chains of parts whose prefixes several requests may share."""

from dataclasses import dataclass

__all__ = ["Part", "Prompt"]


@dataclass(slots=True, frozen=True)
class Part:
    """One part of a prompt, with its length in tokens."""

    id: int
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """A prompt: its model, its sizes in tokens and its parts in order."""

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    @property
    def shared_part_id(self) -> int:
        """Return the id of the last part that other requests are likely to share, else 0."""
        if not self.parts:
            return 0
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id

    @property
    def part_ids(self) -> tuple[int, ...]:
        """Return the ids of the parts, in order."""
        return tuple(part.id for part in self.parts)

    @property
    def tokens(self) -> int:
        """Return the cache memory that the finished request takes, in tokens."""
        return self.input_tokens + self.output_tokens
