"""Second runs of tasks whose first run is on a silent server or takes unusually long."""
