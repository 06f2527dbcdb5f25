"""Measurements: each prints one JSON object with the product beside a baseline."""
