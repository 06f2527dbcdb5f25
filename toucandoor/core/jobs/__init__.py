"""Jobs that callers hand in: steps of tasks, occurrences, their progress and their records."""
