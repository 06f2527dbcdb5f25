"""Tests of the evidence on racks and backend servers."""
