"""Message shapes, header names and codecs shared by the programs."""
