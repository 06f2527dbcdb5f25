"""Which entry VMs there are and who is in touch with whom."""
