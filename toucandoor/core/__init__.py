"""Decision logic without I/O: takes typed events and times, returns typed decisions."""
