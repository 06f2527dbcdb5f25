"""Selection of backend servers for attempts, and their health."""
