"""Orders to engines, given by one gateway on behalf of all."""
