"""Prompts as callers describe them: parts that requests may share."""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt.

    Attributes:
        id: identifier; the same part has the same one in all prompts.
        tokens: its length.
    """

    id: str
    tokens: int
