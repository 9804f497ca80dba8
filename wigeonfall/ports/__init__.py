"""What serving needs from outside, as typed callables."""
