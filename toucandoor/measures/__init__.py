"""Measurements: each compares the product with a baseline and prints one JSON object."""
