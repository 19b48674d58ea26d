"""Experiments on admission policies in virtual time."""
