"""Assignment of VMs to pools, moves between pools, and the pools' availability budgets."""
