"""Experiments: variants of the system, played in pairs on the same days and seeds."""
