"""The emulator: runs a scenario in real time on loopback, with real sidecars, stand-ins and faults."""
