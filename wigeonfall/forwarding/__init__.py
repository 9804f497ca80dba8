"""Passing on of HTTP calls by host and path, on one event loop."""
