"""A request scheduler for unlike engines."""

VERSION = '0.1.0'
