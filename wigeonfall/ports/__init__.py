"""Interfaces of the I/O that serving depends on, as typed callables."""
