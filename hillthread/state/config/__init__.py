"""Configuration objects, their labels and what is looked up in them."""
