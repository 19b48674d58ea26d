"""Measurements of the speed, memory and control-plane cost of the daemon."""
