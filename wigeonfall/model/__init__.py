"""Value classes that all layers use."""
