"""Which request starts next: bounded queues, classes, deadlines, shares."""
