"""Planned maintenance of VMs: waves of stops, within availability budgets."""
