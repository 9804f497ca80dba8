"""Decisions: plain functions of the state, the input and the time."""
