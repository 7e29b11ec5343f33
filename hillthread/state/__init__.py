"""Pure state machines: no sockets, no clock, no randomness of their own."""
