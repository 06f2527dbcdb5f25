"""What the schedule's owner tells all nodes about overloaded pools, and what they make of it."""
