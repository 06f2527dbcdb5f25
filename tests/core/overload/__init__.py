"""Tests of the overload report, and of admission by it."""
