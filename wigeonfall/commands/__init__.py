"""The commands that operators use on the whole fleet."""
