"""Decides in which order prompts are served when engines are short."""
