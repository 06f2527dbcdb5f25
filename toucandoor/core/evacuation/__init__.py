"""Evacuation of data centres: which are evacuated, and how their servers become empty."""
