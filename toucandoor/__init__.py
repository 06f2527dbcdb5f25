"""Fleet capacity and maintenance manager: the processes between callers and backend servers."""
