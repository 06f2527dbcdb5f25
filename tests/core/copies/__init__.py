"""Tests of copies."""
