"""Jobs of callers: their steps and tasks, their configuration, and their records in the store."""
