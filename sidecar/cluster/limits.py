"""Limits of the gossip protocol that code outside of it needs too; importing them loads nothing else."""

MAX_DATAGRAM_BYTES = 256
MAX_CONFIGURATION_VERSION = (1 << 63) - 1
