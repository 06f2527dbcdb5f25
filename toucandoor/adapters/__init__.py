"""Sockets, files, timers, metrics and logs around the core."""
