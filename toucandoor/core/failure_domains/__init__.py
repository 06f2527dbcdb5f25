"""Racks and backend servers that are silent or slow, as evidence for the placement of tasks."""
