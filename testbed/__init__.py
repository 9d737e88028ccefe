"""Test bed of the sidecar: scenarios, scenario runs, and a checker of their event logs."""

__version__ = "0.1.0"
