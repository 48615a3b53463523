"""Which parts of a prompt are worth remembering for later requests.

The last part of a prompt belongs to its request, or to a chat whose caller may return. It is
remembered only where last parts are seen to come again, since it would crowd out shared ones.
"""

from collections import OrderedDict

from marjoramspool.prompts import Part, Prompt

__all__ = ["SharedParts"]

MAX_LAST_PARTS = 512
REUSE_SAMPLE_WEIGHT = 0.02
REUSE_RATIO_THRESHOLD = 0.05


class SharedParts:
    """Tell the parts that others may share from those of one request."""

    __slots__ = ("last_parts", "reuse_ratio")

    def __init__(self):
        self.last_parts: OrderedDict[int, str] = OrderedDict()
        self.reuse_ratio = 0.0

    def select_shareable(self, prompt: Prompt, request: str) -> tuple[Part, ...]:
        """Return the parts of a request's prompt that later requests may share."""
        if len(prompt.parts) < 2:
            return prompt.parts
        self.record_last_part(prompt.parts[-1].id, request)
        return prompt.parts if self.reuse_ratio > REUSE_RATIO_THRESHOLD else prompt.parts[:-1]

    def record_last_part(self, part: int, request: str) -> None:
        """Record a last part, and whether another request had it."""
        known = self.last_parts.pop(part, request)
        self.last_parts[part] = request
        if len(self.last_parts) > MAX_LAST_PARTS:
            self.last_parts.popitem(last=False)
        self.reuse_ratio += REUSE_SAMPLE_WEIGHT * ((known != request) - self.reuse_ratio)
