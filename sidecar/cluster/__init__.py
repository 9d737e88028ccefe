"""The cluster of sidecars, without I/O: who is present, and which configuration is in force where."""
