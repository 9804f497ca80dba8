"""Scheduling decisions as pure logic: no I/O, the time is an argument."""
