"""Accepts calls, sends them to targets and keeps in step with peers."""
