"""Message formats, header names and codecs shared by the programs."""
