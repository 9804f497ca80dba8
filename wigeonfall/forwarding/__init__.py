"""Forwards HTTP requests by host and path, on one event loop."""
