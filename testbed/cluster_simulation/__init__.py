"""Simulation of whole clusters in virtual time, on the sidecar's own membership code, with faults."""
