"""Attempts: dispatches of requests to backend servers, their outcomes and their retries."""
