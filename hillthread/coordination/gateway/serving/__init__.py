"""What a gateway does with the requests of callers."""
