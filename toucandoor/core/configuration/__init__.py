"""The operators' configuration: its schema, merging and versions."""
