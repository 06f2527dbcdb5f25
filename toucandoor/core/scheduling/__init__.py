"""Scheduling of jobs: which task runs where, under which lease, and what follows from its end."""
