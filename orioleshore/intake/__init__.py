"""Limits on what peers can make a process hold."""
