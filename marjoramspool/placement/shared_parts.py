"""Selection of the prompt parts that later requests may share.

The last part of a prompt belongs to its request alone, or to a chat that may continue. It is kept
only if last parts are observed to recur, since otherwise it would evict shared parts.
"""

from collections import OrderedDict

from marjoramspool.prompts import Part, Prompt

__all__ = ["SharedParts"]

MAX_LAST_PARTS = 512
REUSE_SAMPLE_WEIGHT = 0.02
REUSE_RATIO_THRESHOLD = 0.05


class SharedParts:
    """Filter that drops the prompt parts specific to one request."""

    __slots__ = ("last_parts", "reuse_ratio")

    def __init__(self):
        self.last_parts: OrderedDict[int, str] = OrderedDict()
        self.reuse_ratio = 0.0

    def select_shareable(self, prompt: Prompt, request: str) -> tuple[Part, ...]:
        """Return the parts of a prompt that later requests may share."""
        if len(prompt.parts) < 2:
            return prompt.parts
        self.record_last_part(prompt.parts[-1].id, request)
        return prompt.parts if self.reuse_ratio > REUSE_RATIO_THRESHOLD else prompt.parts[:-1]

    def record_last_part(self, part: int, request: str) -> None:
        """Record a last part and update the ratio of those that another request had before."""
        known = self.last_parts.pop(part, request)
        self.last_parts[part] = request
        if len(self.last_parts) > MAX_LAST_PARTS:
            self.last_parts.popitem(last=False)
        self.reuse_ratio += REUSE_SAMPLE_WEIGHT * ((known != request) - self.reuse_ratio)
