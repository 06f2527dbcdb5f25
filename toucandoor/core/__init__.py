"""Decisions without input or output: typed events and a clock in, typed decisions out."""
