"""Protocols between the sidecars of a cluster, without I/O: membership and rollout of versions."""
