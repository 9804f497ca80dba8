"""What is known of keyed orders of callers, and for how long."""
