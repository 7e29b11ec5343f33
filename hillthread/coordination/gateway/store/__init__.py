"""What a gateway reads from the platform's store."""
