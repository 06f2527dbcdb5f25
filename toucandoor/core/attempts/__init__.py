"""Attempts: what becomes of a request after it was sent to a backend server."""
