"""Which backend server takes an attempt, and which are out of use."""
