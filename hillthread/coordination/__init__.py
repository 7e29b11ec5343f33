"""How decisions are made and how hosts act together."""
