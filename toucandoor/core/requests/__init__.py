"""One request's way through an entry: events in, decisions out."""
