"""Request engine of an entry: turns events into decisions on its requests."""
