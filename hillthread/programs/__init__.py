"""Command lines: one module for each installed program."""
