"""Topics of the platform's store that a gateway host follows."""
