"""Measurements of the daemon's own speed, memory and control cost."""
