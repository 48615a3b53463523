"""Which parts of a prompt are worth remembering for later requests.

The last part of a prompt belongs to its request, or to a chat whose caller may return. It is
remembered only where last parts are seen to come again, since it would crowd out shared ones.
"""

from collections import OrderedDict

from marjoramspool.prompts import Part, Prompt

__all__ = ["SharedParts"]

LAST_PARTS_KEPT = 512
RETURNS_WEIGHT = 0.02
RETURNS_COUNT_ABOVE = 0.05


class SharedParts:
    """Tell the parts that others may share from those of one request."""

    __slots__ = ("last_parts", "returns")

    def __init__(self):
        self.last_parts: OrderedDict[int, str] = OrderedDict()
        self.returns = 0.0

    def worth_keeping(self, prompt: Prompt, request: str) -> tuple[Part, ...]:
        """Return the parts of a request's prompt that later requests may share."""
        if len(prompt.parts) < 2:
            return prompt.parts
        self.note(prompt.parts[-1].id, request)
        return prompt.parts if self.returns > RETURNS_COUNT_ABOVE else prompt.parts[:-1]

    def note(self, part: int, request: str) -> None:
        """Record a last part, and whether another request had it."""
        known = self.last_parts.pop(part, request)
        self.last_parts[part] = request
        if len(self.last_parts) > LAST_PARTS_KEPT:
            self.last_parts.popitem(last=False)
        self.returns += RETURNS_WEIGHT * ((known != request) - self.returns)
