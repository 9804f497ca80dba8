"""Implementations of the ports over the network."""
