"""Values that every layer shares."""
