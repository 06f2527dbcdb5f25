"""Which pool each VM belongs to, and each pool's availability budget."""
