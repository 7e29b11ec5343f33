"""The orders that one gateway gives to engines for all."""
