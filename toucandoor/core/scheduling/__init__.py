"""Job scheduler: assigns tasks to backend servers, tracks their leases and handles their ends."""
