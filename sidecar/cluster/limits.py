"""Limits of the gossip protocol that other packages use too; this module imports nothing, to save memory."""

MAX_DATAGRAM_BYTES = 256
MAX_CONFIGURATION_VERSION = (1 << 63) - 1
