"""What is known of targets, and which of them gets a request."""
