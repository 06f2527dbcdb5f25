"""Fleet capacity and maintenance manager between callers and backend servers."""
