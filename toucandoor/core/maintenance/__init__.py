"""Waves of planned stops over racks and data centres."""
