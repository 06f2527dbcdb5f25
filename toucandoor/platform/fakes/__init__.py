"""Stand-ins that speak the platform's protocol over HTTP, for tests with real node processes."""
