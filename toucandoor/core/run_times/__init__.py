"""How long tasks really run, beside their callers' estimates."""
