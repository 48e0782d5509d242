"""Findings in configurations: errors, entries without effect, differences."""
