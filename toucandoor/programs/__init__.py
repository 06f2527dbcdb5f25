"""One module for each program: reads settings and wires the core to its adapters."""
