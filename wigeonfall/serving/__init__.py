"""The path of one request and the loops for peers and control."""
