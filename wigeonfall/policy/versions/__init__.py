"""Whether a new version of targets takes over or is taken back."""
